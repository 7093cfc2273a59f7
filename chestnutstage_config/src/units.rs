//! Values that are written with a unit in settings.

use std::time::Duration;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A duration written with its unit, such as `"250ms"`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, From, Into)]
#[display("{}", humantime::format_duration(*_0))]
pub struct Span(pub Duration);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        humantime::parse_duration(&text).map(Self).map_err(|e| {
            serde::de::Error::custom(format!("`{text}` is not a duration such as \"250ms\": {e}"))
        })
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
