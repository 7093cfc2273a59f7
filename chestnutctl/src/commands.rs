//! Execution of the commands.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};

use chestnutstage_config::fleet::{Change, Customer, Defaults as FleetDefaults, Exception, Rule};
use chestnutstage_config::key::KeyHash;
use chestnutstage_config::load;
use chestnutstage_core::length::Tokens;
use chestnutstage_core::window::{Capacity, Load};
use clap::CommandFactory;
use serde::Serialize;
use serde_json::Value;

use crate::certs;
use crate::check::check;
use crate::cli::{ChangeArgs, Cli, Command, Customers, Defaults, Exceptions, Gateway, RuleArgs, Service};
use crate::client::Client;
use crate::error::CtlError;
use crate::output::print_table;

/// Runs the command given on the command line.
pub(crate) async fn run(cli: Cli) -> Result<(), CtlError> {
    let client = Client::new(&cli.address, &cli.token)?;
    let context = Context { client, json: cli.json };
    match cli.command {
        Command::Defaults(command) => context.defaults(command).await,
        Command::Exceptions(command) => context.exceptions(command).await,
        Command::Customers(command) => context.customers(command).await,
        Command::Zones(command) => context.zones(command).await,
        Command::Endpoints(command) => context.endpoints(command).await,
        Command::Status => context.status().await,
        Command::State { instance } => print_json(&context.client.state(&instance).await?),
        Command::Explain { request } => context.explain(&request).await,
        Command::Gateway(command) => context.gateway(&command).await,
        Command::Check(args) => check(&args, context.json),
        Command::Certs { out, instances } => certs::create(&out, &instances),
        Command::HashKey => {
            println!("{}", KeyHash::of(&read_key()?));
            Ok(())
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "chestnutctl", &mut std::io::stdout());
            Ok(())
        }
        Command::Man { out } => man(&out),
    }
}

/// Client and output format, used by all commands that contact an instance.
struct Context {
    client: Client,
    json: bool,
}

impl Context {
    async fn gateway(&self, command: &Gateway) -> Result<(), CtlError> {
        let path = match command {
            Gateway::Ready => "ready",
            Gateway::Metrics => "metrics",
            Gateway::State => "state",
        };
        print!("{}", self.client.gateway(path).await?);
        Ok(())
    }

    async fn defaults(&self, command: Defaults) -> Result<(), CtlError> {
        match command {
            Defaults::Get => {
                let config = self.client.config().await?;
                if self.json {
                    return print_json(&config.defaults);
                }
                println!("# version {}", config.version);
                print!("{}", to_toml(&config.defaults)?);
                Ok(())
            }
            Defaults::Set { file, change } => {
                let defaults: FleetDefaults = load::load(&file)?;
                self.change(change, Change::SetDefaults(defaults)).await
            }
            Defaults::Edit { change } => self.edit(change).await,
            Defaults::Diff { file } => {
                let new: FleetDefaults = load::load(&file)?;
                let current = to_toml(&self.client.config().await?.defaults)?;
                print_diff(&current, &to_toml(&new)?);
                Ok(())
            }
            Defaults::History { after } => self.history(after).await,
        }
    }

    /// Opens the defaults in the operator's editor and sets the result.
    ///
    /// Unless the operator names a base, the change is based on the version that was opened, so that a concurrent
    /// change to the defaults is reported as a conflict and not overwritten.
    async fn edit(&self, change: ChangeArgs) -> Result<(), CtlError> {
        let config = self.client.config().await?;
        let path = std::env::temp_dir().join(format!("chestnutctl-{}.toml", std::process::id()));
        let before = to_toml(&config.defaults)?;
        let failed = |step| {
            let path = path.clone();
            move |source| CtlError::File { step, path, source }
        };
        fs::write(&path, &before).map_err(failed("write"))?;
        let editor = std::env::var("EDITOR").unwrap_or_else(|_| "vi".into());
        let status = std::process::Command::new(&editor).arg(&path).status().map_err(failed("edit"))?;
        let edited: Result<FleetDefaults, _> = load::load(&path);
        let _ = fs::remove_file(&path);
        if !status.success() {
            return Err(CtlError::Input(format!("{editor} ended with {status}; nothing was changed")));
        }
        let edited = edited?;
        if edited == config.defaults {
            println!("nothing was changed");
            return Ok(());
        }
        let change = ChangeArgs { base: change.base.or(Some(config.version.0)), ..change };
        self.change(change, Change::SetDefaults(edited)).await
    }

    async fn history(&self, after: u64) -> Result<(), CtlError> {
        let history = self.client.history(after).await?;
        if self.json {
            return print_json(&history);
        }
        let row = |e: &chestnutstage_config::fleet::LogEntry| {
            let subjects: Vec<_> = e.change.subjects().iter().map(ToString::to_string).collect();
            vec![
                e.version.to_string(),
                e.author.clone(),
                e.office.clone(),
                subjects.join(", "),
                e.reason.clone(),
            ]
        };
        print_table(
            &["VERSION", "AUTHOR", "OFFICE", "ABOUT", "REASON"],
            &history.iter().map(row).collect::<Vec<_>>(),
        );
        Ok(())
    }

    async fn exceptions(&self, command: Exceptions) -> Result<(), CtlError> {
        match command {
            Exceptions::List => {
                let config = self.client.config().await?;
                if self.json {
                    return print_json(&config.exceptions);
                }
                let row = |(name, e): (&String, &Exception)| {
                    let rule = serde_json::to_string(&e.rule).unwrap_or_default();
                    vec![name.clone(), rule, e.reason.clone()]
                };
                print_table(
                    &["NAME", "RULE", "REASON"],
                    &config.exceptions.iter().map(row).collect::<Vec<_>>(),
                );
                Ok(())
            }
            Exceptions::Add { name, rule } => {
                let (rule, change) = self.rule(rule).await?;
                let exception = Exception { rule, reason: change.reason.clone() };
                self.change(change, Change::AddException(name, exception)).await
            }
            Exceptions::Remove { name, change } => self.change(change, Change::RemoveException(name)).await,
        }
    }

    async fn rule(&self, args: RuleArgs) -> Result<(Rule, ChangeArgs), CtlError> {
        match args {
            RuleArgs::Contract { customer, rate, weight, deadline_ms, change } => {
                let mut contract = self.client.config().await?.defaults.contract;
                contract.rate = rate.unwrap_or(contract.rate);
                contract.weight = weight.unwrap_or(contract.weight);
                contract.deadline = deadline_ms.unwrap_or(contract.deadline);
                Ok((Rule::Contract { customer: customer.into(), contract }, change))
            }
            RuleArgs::Capacity {
                endpoint,
                cold_requests,
                cold_tokens,
                warm_requests,
                warm_tokens,
                change,
            } => {
                let cold = Load { requests: cold_requests, tokens: Tokens(cold_tokens) };
                let warm = Load { requests: warm_requests, tokens: Tokens(warm_tokens) };
                Ok((Rule::Capacity { endpoint: endpoint.into(), capacity: Capacity { cold, warm } }, change))
            }
        }
    }

    async fn customers(&self, command: Customers) -> Result<(), CtlError> {
        match command {
            Customers::List => {
                let config = self.client.config().await?;
                if self.json {
                    return print_json(&config.customers);
                }
                let row = |id: &chestnutstage_core::ids::CustomerId| {
                    let contract = config.contract(id);
                    vec![
                        id.to_string(),
                        contract.rate.to_string(),
                        contract.weight.to_string(),
                        contract.deadline.to_string(),
                    ]
                };
                let rows: Vec<_> = config.customers.keys().map(row).collect();
                print_table(&["CUSTOMER", "TOKENS/S", "WEIGHT", "DEADLINE MS"], &rows);
                Ok(())
            }
            Customers::Put { name, change } => {
                let customer = Customer { key: KeyHash::of(&read_key()?) };
                self.change(change, Change::PutCustomer(name.into(), customer)).await
            }
            Customers::Remove { name, change } => {
                self.change(change, Change::RemoveCustomer(name.into())).await
            }
        }
    }

    async fn zones(&self, command: Service) -> Result<(), CtlError> {
        match command {
            Service::List => {
                let status = self.client.status().await?;
                let mut zones = std::collections::BTreeMap::<String, usize>::new();
                for endpoint in field_array(&status, "endpoints") {
                    *zones.entry(field_text(endpoint, "zone")).or_default() += 1;
                }
                let out: Vec<String> = field_array(&status, "zones_out").iter().map(value_text).collect();
                if self.json {
                    return print_json(&serde_json::json!({"zones": zones, "out": out}));
                }
                let state = |zone: &String| if out.contains(zone) { "out" } else { "in" };
                let row = |(zone, count): (&String, &usize)| {
                    vec![zone.clone(), state(zone).to_owned(), count.to_string()]
                };
                print_table(&["ZONE", "SERVICE", "ENDPOINTS"], &zones.iter().map(row).collect::<Vec<_>>());
                Ok(())
            }
            Service::Out { name, change } => self.change(change, Change::ZoneOut(name.into())).await,
            Service::In { name, change } => self.change(change, Change::ZoneIn(name.into())).await,
        }
    }

    async fn endpoints(&self, command: Service) -> Result<(), CtlError> {
        match command {
            Service::List => {
                let status = self.client.status().await?;
                let endpoints = field_array(&status, "endpoints");
                if self.json {
                    return print_json(&endpoints);
                }
                let row = |e: &Value| {
                    let state = if e["in_service"] == true { "in" } else { "out" };
                    vec![
                        field_text(e, "endpoint"),
                        field_text(e, "zone"),
                        state.to_owned(),
                        field_text(e, "models"),
                    ]
                };
                let rows: Vec<_> = endpoints.iter().map(row).collect();
                print_table(&["ENDPOINT", "ZONE", "SERVICE", "MODELS"], &rows);
                Ok(())
            }
            Service::Out { name, change } => self.change(change, Change::EndpointOut(name.into())).await,
            Service::In { name, change } => self.change(change, Change::EndpointIn(name.into())).await,
        }
    }

    async fn status(&self) -> Result<(), CtlError> {
        let status = self.client.status().await?;
        if self.json {
            return print_json(&status);
        }
        println!("version {}", value_text(&status["version"]));
        let row = |i: &Value| {
            let ready = if i["ready"] == true { "yes" } else { "no" };
            vec![
                field_text(i, "instance"),
                field_text(i, "zone"),
                field_text(i, "health"),
                field_text(i, "version"),
                ready.to_owned(),
            ]
        };
        let rows: Vec<_> = field_array(&status, "instances").iter().map(row).collect();
        print_table(&["INSTANCE", "ZONE", "HEALTH", "VERSION", "READY"], &rows);
        Ok(())
    }

    async fn explain(&self, request: &str) -> Result<(), CtlError> {
        let explained = self.client.explain(request).await?;
        if self.json {
            return print_json(&explained);
        }
        let instances = field_array(&explained, "instances");
        if instances.is_empty() {
            return Err(CtlError::Input(format!("no instance has a record of request {request}")));
        }
        let mut rows = Vec::new();
        for instance in instances {
            for decision in field_array(instance, "decisions") {
                let mut details = decision.clone();
                if let Some(details) = details.as_object_mut() {
                    for key in ["at", "event", "request"] {
                        details.remove(key);
                    }
                }
                rows.push(vec![
                    field_text(instance, "instance"),
                    field_text(decision, "at"),
                    field_text(decision, "event"),
                    details.to_string(),
                ]);
            }
        }
        print_table(&["INSTANCE", "AT MS", "EVENT", "DETAILS"], &rows);
        Ok(())
    }

    /// Submits a change; one that is committed but not yet in force everywhere is [`CtlError::Pending`].
    async fn change(&self, args: ChangeArgs, change: Change) -> Result<(), CtlError> {
        let base = match args.base {
            Some(base) => base,
            None => self.client.config().await?.version.0,
        };
        let committed = self.client.change(base, &args.reason, &change).await?;
        let version = committed.version;
        let missing = committed.progress["committed"]["missing"].as_array();
        if let Some(missing) = missing {
            let missing: Vec<_> = missing.iter().map(value_text).collect();
            return Err(CtlError::Pending { version, missing: missing.join(", ") });
        }
        if self.json {
            return print_json(&serde_json::json!({"version": version, "progress": "in_force"}));
        }
        println!("version {version} is in force everywhere");
        Ok(())
    }
}

fn field_array<'a>(value: &'a Value, key: &str) -> &'a [Value] {
    value[key].as_array().map_or(&[], Vec::as_slice)
}

fn field_text(value: &Value, key: &str) -> String {
    value_text(&value[key])
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

pub(crate) fn print_json<T: Serialize + ?Sized>(value: &T) -> Result<(), CtlError> {
    let text = serde_json::to_string_pretty(value).map_err(|e| CtlError::Input(e.to_string()))?;
    println!("{text}");
    Ok(())
}

fn to_toml<T: Serialize>(value: &T) -> Result<String, CtlError> {
    toml::to_string_pretty(value).map_err(|e| CtlError::Input(e.to_string()))
}

/// Prints the lines that are in only one of the two texts: `-` for `current`, `+` for `new`.
fn print_diff(current: &str, new: &str) {
    for line in current.lines().filter(|l| !new.lines().any(|n| n == *l)) {
        println!("-{line}");
    }
    for line in new.lines().filter(|l| !current.lines().any(|c| c == *l)) {
        println!("+{line}");
    }
}

fn read_key() -> Result<String, CtlError> {
    let mut key = String::new();
    let failed = |source| CtlError::File { step: "read", path: PathBuf::from("standard input"), source };
    std::io::stdin().read_to_string(&mut key).map_err(failed)?;
    match key.trim() {
        "" => Err(CtlError::Input("the key on standard input is empty".into())),
        key => Ok(key.to_owned()),
    }
}

fn man(out: &Path) -> Result<(), CtlError> {
    clap_mangen::generate_to(Cli::command(), out).map_err(|source| CtlError::File {
        step: "write",
        path: out.to_owned(),
        source,
    })
}
