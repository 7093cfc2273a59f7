//! Offline check of settings, defaults and exceptions.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use chestnutstage_config::fleet::{Change, Defaults, Exception, FleetConfig, Rule};
use chestnutstage_config::load::{self, LoadError};
use chestnutstage_config::settings::Settings;
use chestnutstage_core::catalog_check::Finding;
use toml::{Table, Value};

use crate::cli::CheckArgs;
use crate::commands::print_json;
use crate::error::CtlError;

/// Checks a settings or defaults file; one with an `[instance]` or `[platform]` table is read as settings.
pub(crate) fn check(args: &CheckArgs, json: bool) -> Result<(), CtlError> {
    let file = &args.file;
    let text = fs::read_to_string(file).map_err(|source| LoadError::Read { path: file.clone(), source })?;
    let table: Table = load::parse(&text, file)?;
    if table.contains_key("instance") || table.contains_key("platform") {
        if args.exceptions.is_some() || args.against.is_some() {
            return Err(CtlError::Input(format!("{}: these are settings, not defaults", file.display())));
        }
        Settings::load(file)?;
        println!("{}: the settings are valid", file.display());
        return Ok(());
    }
    let defaults: Defaults = load::parse(&text, file)?;
    let exceptions = args.exceptions.as_deref().map(load::load::<BTreeMap<String, Exception>>).transpose()?;
    let mut findings = check_defaults(&defaults, exceptions.unwrap_or_default());
    if let Some(in_force) = &args.against {
        findings.extend(compare(&defaults, &load::load(in_force)?)?);
    }
    report(file, &findings, json)
}

fn report(file: &Path, findings: &[Finding], json: bool) -> Result<(), CtlError> {
    if json {
        print_json(&findings)?;
    } else {
        for finding in findings {
            println!("{finding}");
        }
    }
    match findings.iter().filter(|finding| finding.is_fault()).count() {
        0 if json => {}
        0 => println!("{}: the defaults are valid", file.display()),
        count => return Err(CtlError::Findings { path: file.to_owned(), count }),
    }
    Ok(())
}

fn check_defaults(defaults: &Defaults, exceptions: BTreeMap<String, Exception>) -> Vec<Finding> {
    let checked = defaults.check().err();
    let mut findings: Vec<_> =
        checked.map(|e| Finding::error("defaults", format!("{e}."))).into_iter().collect();
    let mut config = FleetConfig { defaults: defaults.clone(), ..FleetConfig::default() };
    for (name, exception) in exceptions {
        let place = format!("exception `{name}`");
        let change = Change::AddException(name.clone(), exception.clone());
        if let Err(e) = config.check(&change, &exception.reason) {
            findings.push(Finding::error(&place, format!("{e}.")));
        }
        match &exception.rule {
            Rule::Contract { contract, .. } if *contract == defaults.contract => {
                findings.push(Finding::warning(&place, "it has no effect: it equals the default contract."));
            }
            Rule::Capacity { capacity, .. } if capacity.warm.requests == 0 => {
                findings.push(Finding::warning(&place, "a warm endpoint gets no requests."));
            }
            Rule::Capacity { capacity, .. } if capacity.cold.requests > capacity.warm.requests => {
                findings
                    .push(Finding::warning(&place, "a cold endpoint gets more requests than a warm one."));
            }
            _ => {}
        }
        config.exceptions.insert(name, exception);
    }
    findings
}

fn compare(new: &Defaults, in_force: &Defaults) -> Result<Vec<Finding>, CtlError> {
    let flatten = |defaults: &Defaults| -> Result<_, CtlError> {
        let table = Table::try_from(defaults).map_err(|e| CtlError::Input(e.to_string()))?;
        let mut values = BTreeMap::new();
        flatten_into("", &table, &mut values);
        Ok(values)
    };
    let (new, old) = (flatten(new)?, flatten(in_force)?);
    let mut findings = Vec::new();
    for (place, value) in &new {
        match old.get(place) {
            Some(before) if before == value => {}
            Some(before) => {
                findings.push(Finding::change(place, format!("the value is {value} instead of {before}.")));
            }
            None => findings.push(Finding::change(place, format!("the value {value} is new."))),
        }
    }
    let removed = old.iter().filter(|(place, _)| !new.contains_key(*place));
    findings.extend(
        removed.map(|(place, value)| Finding::change(place, format!("the value {value} is removed."))),
    );
    Ok(findings)
}

fn flatten_into(prefix: &str, table: &Table, values: &mut BTreeMap<String, Value>) {
    for (key, value) in table {
        match value {
            Value::Table(inner) => flatten_into(&format!("{prefix}{key}."), inner, values),
            value => drop(values.insert(format!("{prefix}{key}"), value.clone())),
        }
    }
}
