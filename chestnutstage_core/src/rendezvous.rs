//! Ownership by highest random weight.
//!
//! Every instance scores every candidate for a key and the highest score owns it. When an instance leaves, only its
//! own keys move, and they spread evenly over the rest. Candidates of the key's own zone go first.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceId, ZoneId};

/// Score of `instance` for `key`.
pub fn score(key: &str, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(instance.as_str().as_bytes(), 0))
}

/// Owner of `key` in `zone` among `instances`, preferring its own zone.
pub fn owner<'a, I>(key: &str, zone: &ZoneId, instances: I) -> Option<&'a InstanceId>
where
    I: IntoIterator<Item = (&'a InstanceId, &'a ZoneId)>,
{
    instances.into_iter().max_by_key(|(id, z)| (*z == zone, score(key, id))).map(|(id, _)| id)
}

/// Whether `me` is among the first `count` of itself and `others` for `key`.
pub fn is_among_top<'a, I>(count: usize, key: &str, me: &InstanceId, others: I) -> bool
where
    I: IntoIterator<Item = &'a InstanceId>,
{
    let mine = score(key, me);
    others.into_iter().filter(|id| score(key, id) > mine).take(count).count() < count
}

/// Hash of bytes, the same in every process.
pub fn hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
