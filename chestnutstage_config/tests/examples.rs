//! The example files are valid, and the two fleets differ as documented.

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
        let printed = format!("{settings:?}");
        assert!(!printed.contains("PLATFORM_TOKEN"), "secrets must not be printed: {printed}");
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
