//! A stream is forwarded in complete events, each once, also across failovers.

use chestnutstage_core::relay::Relay;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

fn stream(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    ids.flat_map(|id| format!("id: {id}\ndata: piece {id}\n\n").into_bytes()).collect()
}

#[test]
fn partial_event() {
    let mut relay = Relay::default();
    assert_eq!(&relay.push(b"id: 1\ndata: x\n\nid: 2\nda")[..], b"id: 1\ndata: x\n\n");
    assert_eq!((relay.last_event_id(), relay.event_count()), (Some(1), 1));
    assert_eq!(relay.partial_len(), 8);
    assert_eq!(&relay.push(b"ta: y\n\n")[..], b"id: 2\ndata: y\n\n");
    assert_eq!((relay.last_event_id(), relay.partial_len()), (Some(2), 0));
}

#[test]
fn resumed_stream() {
    let mut relay = Relay::default();
    relay.push(b"id: 1\ndata: x\n\nid: 2\ndata: hal");
    relay.resume();
    assert_eq!(relay.partial_len(), 0, "the incomplete event of the previous endpoint is dropped");
    let resumed = relay.push(&stream(1..=3));
    assert_eq!(&resumed[..], &stream(2..=3)[..], "a forwarded event is not delivered again");
}

#[test]
fn events_without_id() {
    let mut relay = Relay::default();
    assert_eq!(&relay.push(b": comment\n\n")[..], b": comment\n\n");
    assert_eq!((relay.last_event_id(), relay.event_count()), (None, 1));
}

/// However the bytes are fragmented and wherever the endpoint changes, each event is delivered once and in order.
#[test]
fn any_fragments() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let inputs = (proptest::collection::vec(1_usize..40, 1..40), 0_usize..400);
    runner
        .run(&inputs, |(sizes, break_at)| {
            let all = stream(1..=12);
            let mut relay = Relay::default();
            let mut out = Vec::new();
            let mut sizes = sizes.iter().cycle();
            let mut feed = |relay: &mut Relay, mut bytes: &[u8]| {
                while !bytes.is_empty() {
                    let (fragment, remaining) = bytes.split_at((*sizes.next().unwrap()).min(bytes.len()));
                    out.extend_from_slice(&relay.push(fragment));
                    bytes = remaining;
                }
            };
            feed(&mut relay, &all[..break_at.min(all.len())]);
            relay.resume();
            let next = relay.last_event_id().map_or(1, |last| last + 1);
            feed(&mut relay, &stream(next..=12));
            prop_assert_eq!(out, all);
            Ok(())
        })
        .unwrap();
}
