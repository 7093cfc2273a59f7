//! Placement of requests with extreme numbers: a placement or a refusal, never a panic.

#[path = "common/costs.rs"]
mod costs;

use std::time::Duration;

use chestnutstage_core::engine::Costs;
use chestnutstage_core::pool::{Demand, Listing, Pool};
use chestnutstage_core::time::Time;
use costs::COSTS;

const TOKENS: [u64; 6] = [0, 1, 4_000, 1_000_000, u64::MAX / 2, u64::MAX];
const SPANS: [Duration; 4] =
    [Duration::ZERO, Duration::from_millis(1), Duration::from_hours(1), Duration::MAX];

#[test]
fn any_numbers() {
    let service = "llm".into();
    let endless = Costs { rate: 0.0, step: f64::MAX, pairs: f64::MAX, ..COSTS };
    let mut refused = 0;
    for costs in [COSTS, endless, Costs { rate: f64::NAN, ..COSTS }, Costs { memory: u64::MAX, ..COSTS }] {
        let mut pool = Pool::new("a".into(), 1);
        pool.set_service("llm".into(), Some(costs), 0.0);
        for number in 0..4 {
            let id = format!("e{number}").as_str().into();
            let address = "10.0.0.1:80".parse().unwrap();
            pool.update_listing(
                Time::ZERO,
                Listing {
                    id,
                    address,
                    zone: "a".into(),
                    service: "llm".into(),
                    slots: 16,
                    leaving: false,
                    born: 1,
                    cold: 0,
                },
            );
        }
        for tokens in TOKENS {
            for output in TOKENS {
                for span in SPANS {
                    let demand = Demand {
                        service: &service,
                        tokens,
                        output,
                        first: span,
                        gap: span,
                        remaining: span,
                        tried: &[],
                        jitter: 0.5,
                    };
                    match pool.place(Time::from_millis(5), &demand) {
                        Ok(placement) => pool.end_grant(placement.number),
                        Err(refusal) => {
                            refused += 1;
                            assert!(refusal.retry < Duration::from_mins(1));
                        }
                    }
                }
            }
        }
    }
    assert!(refused > 0);
}
