//! Time that an engine takes, by its published costs.

#[path = "common/costs.rs"]
mod costs;

use costs::COSTS;

#[test]
fn lone_writer() {
    let pass = COSTS.pass(1, 5_000);
    assert!((44.0..46.0).contains(&pass), "43 steps of 1.02 ms and a little context: {pass}");
}

#[test]
fn full_batch() {
    let pass = COSTS.pass(16, 16 * 5_000);
    assert!((58.0..64.0).contains(&pass), "{pass}");
}

#[test]
fn long_read() {
    let alone = COSTS.read(133_000, 1);
    // 646 ms for the tokens, 1,221 ms for the pairs, 65 steps.
    assert!((1_900.0..1_960.0).contains(&alone), "{alone}");
    let parts = COSTS.read(133_000, 4) * 4.0;
    assert!((parts - alone).abs() < 5.0 * COSTS.step, "parts cost together what the whole costs");
}

#[test]
fn empty_prompt() {
    assert!(COSTS.read(0, 1).abs() < f64::EPSILON);
    assert!(COSTS.read(0, 0).abs() < f64::EPSILON);
}
