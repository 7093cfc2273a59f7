//! The examples are valid, and differ where the pages say so.

use std::path::PathBuf;

use chestnutstage_config::fleet::Defaults;
use chestnutstage_config::load;
use chestnutstage_config::settings::Settings;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../examples").join(name)
}

#[test]
fn instance_settings() {
    for name in ["frostbank-instance.toml", "hennaboek-instance.toml"] {
        let settings = Settings::load(&path(name)).unwrap();
        assert_eq!(settings.operators.len(), 2);
        let shown = format!("{settings:?}");
        assert!(!shown.contains("PLATFORM_TOKEN"), "secrets are not shown: {shown}");
    }
}

#[test]
fn fleet_defaults() {
    let [frostbank, hennaboek] = ["frostbank.toml", "hennaboek.toml"].map(|name| {
        let defaults: Defaults = load::load(&path(name)).unwrap();
        defaults.check().unwrap();
        defaults
    });
    assert!(hennaboek.limits.reserve > frostbank.limits.reserve);
    assert!(frostbank.contract.deadline > hennaboek.contract.deadline);
}
