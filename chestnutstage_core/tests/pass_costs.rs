//! Lengths of passes and prefills, by the published costs of an engine.

#[path = "common/costs.rs"]
mod costs;

use costs::COSTS;

#[test]
fn single_decoding_request() {
    let pass = COSTS.pass_ms(1, 5_000);
    assert!((44.0..46.0).contains(&pass), "43 steps of 1.02 ms plus the context costs: {pass}");
}

#[test]
fn full_batch() {
    let pass = COSTS.pass_ms(16, 16 * 5_000);
    assert!((58.0..64.0).contains(&pass), "{pass}");
}

#[test]
fn long_prefill() {
    let alone = COSTS.prefill_ms(133_000, 1);
    // 646 ms for the tokens, 1,221 ms for the pairs, 65 steps.
    assert!((1_900.0..1_960.0).contains(&alone), "{alone}");
    let parts = COSTS.prefill_ms(133_000, 4) * 4.0;
    assert!((parts - alone).abs() < 5.0 * COSTS.step, "the parts together cost as much as the whole prompt");
}

#[test]
fn empty_prompt() {
    assert!(COSTS.prefill_ms(0, 1).abs() < f64::EPSILON);
    assert!(COSTS.prefill_ms(0, 0).abs() < f64::EPSILON);
}
