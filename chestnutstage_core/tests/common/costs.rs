//! Batch costs of an engine, for tests and benches.

use chestnutstage_core::engine::Costs;

/// Costs that the users publish for their engines.
pub const COSTS: Costs = Costs {
    step: 1.02,
    writer: 0.002_26,
    context: 0.004_31,
    rate: 206.0,
    pairs: 0.138,
    chunk: 2_048,
    stride: 43,
    slots: 16,
    memory: 232_000,
    hop: 0.075,
};
