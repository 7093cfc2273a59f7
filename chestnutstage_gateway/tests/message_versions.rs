//! Messages of builds with and without sections.

use std::time::Duration;

use chestnutstage_core::pool::{Cause, Grant, LimitReport, Placement, Refusal};
use chestnutstage_core::time::Time;
use chestnutstage_gateway::sections::{self, Sections, Tag};
use serde::{Deserialize, Serialize};

/// Answers of a planner, recorded from the build before sections.
const REFUSED: &str = "01010080f0f0e401";
const GRANTED: &str = "00018af6d1c1bb8ff394a90103652d31007f000001500161046465736b06000900000001000080c2d72f0001\
    8af6d1c1bb8ff394a9010000000000000100000180a3c347000000803f010000";
/// End of a state of that build: its extension, by which an instance says that it is cut off.
const EXTENSION: &str = "01";

/// A planner's answer.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Granted {
    placement: Placement,
    grant: Grant,
    now: Time,
    limits: Vec<LimitReport>,
}

type Answer = Result<Granted, Refusal>;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<char> = hex.chars().filter(char::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(&String::from_iter(pair), 16).expect("hexadecimal digits"))
        .collect()
}

fn with_sections() -> Sections {
    let mut sections = Sections::default();
    sections.set(Tag::Turns, &vec![(7_u64, 250_u32)]);
    sections.set(Tag::Applicant, &("c1".to_owned(), 2_u8));
    sections
}

/// Guards against an answer of an older planner that a newer entry can't read.
#[test]
fn older_answers() {
    let (refused, none): (Answer, _) = sections::decode(&bytes(REFUSED)).expect("a recorded refusal");
    let refusal = Refusal { cause: Cause::NoSlot, retry: Duration::from_millis(480) };
    assert_eq!((refused, none), (Err(refusal), Sections::default()));
    let (granted, _): (Answer, _) = sections::decode(&bytes(GRANTED)).expect("a recorded grant");
    let granted = granted.expect("the recorded answer is a grant");
    assert_eq!((granted.placement.number, granted.now), (1, Time::from_millis(1_000)));
}

/// Guards against sections that change what an older build reads.
#[test]
fn older_readers() {
    let (answer, _): (Answer, _) = sections::decode(&bytes(GRANTED)).expect("a recorded grant");
    assert_eq!(sections::encode(&answer, &Sections::default()).expect("encodes")[..], bytes(GRANTED)[..]);
    let encoded = sections::encode(&answer, &with_sections()).expect("encodes");
    // The older build decodes with `from_bytes` and ignores what follows.
    assert_eq!(postcard::from_bytes::<Answer>(&encoded).expect("older builds ignore sections"), answer);
    let extension = sections::encode(&true, &with_sections()).expect("encodes");
    assert!(postcard::from_bytes::<bool>(&extension).expect("older builds ignore sections"));
}

/// Guards against a section that is lost, or taken for another one.
#[test]
fn round_trip() {
    let encoded = sections::encode(&true, &with_sections()).expect("encodes");
    let (cut_off, sections): (bool, _) = sections::decode(&encoded).expect("decodes");
    assert!(cut_off);
    assert_eq!(sections.get::<Vec<(u64, u32)>>(Tag::Turns), Some(vec![(7, 250)]));
    assert_eq!(sections.get::<(String, u8)>(Tag::Applicant), Some(("c1".to_owned(), 2)));
    assert_eq!(sections.get::<u8>(Tag::Capacities), None);
    let (cut_off, none): (bool, _) = sections::decode(&bytes(EXTENSION)).expect("a recorded extension");
    assert!(cut_off && none == Sections::default());
}

/// Guards against an unknown or broken section that takes the message or its other sections with it.
#[test]
fn odd_sections() {
    let known = (Tag::Turns as u16, postcard::to_stdvec(&vec![(7_u64, 250_u32)]).expect("encodes"));
    let odd = vec![(900_u16, vec![1, 2, 3]), (Tag::Capacities as u16, vec![0xff; 5]), known];
    let message = postcard::to_extend(&odd, vec![1]).expect("encodes");
    let (_, sections): (bool, _) = sections::decode(&message).expect("decodes");
    assert_eq!(sections.get::<Vec<(u64, u32)>>(Tag::Turns), Some(vec![(7, 250)]));
    assert_eq!(sections.get::<Vec<(u64, u64)>>(Tag::Capacities), None);
    let truncated: (bool, Sections) = sections::decode(&message[..4]).expect("the message is whole");
    assert!(truncated.0 && truncated.1 == Sections::default());
}
