//! Stand-ins and clients of the cases of the second review: `standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case couldn't run.

mod http;
mod json;
mod planner;
mod store;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match args.get(1).zip(args.get(2)) {
        Some((case, record)) if case == "planner" => planner::run(record, trouble),
        _ => Err("usage: standins planner RECORD".into()),
    };
    match outcome {
        Ok(0) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(count) => {
            println!("the rule was broken {count} times");
            ExitCode::from(1)
        }
        Err(e) => {
            println!("the case couldn't run: {e}");
            ExitCode::from(2)
        }
    }
}
