//! Rendezvous hashing (highest random weight).
//!
//! Every instance computes a score of every candidate for a key, and the candidate with the highest score owns the key.
//! When an instance leaves, only its keys move, spread evenly over the remaining instances. Candidates in the key's own
//! zone take precedence.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{InstanceId, ZoneId};

/// Score of `instance` for `key`.
pub fn score(key: &str, instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(instance.as_str().as_bytes(), 0))
}

/// Owner of `key` among `instances`; those in `zone`, the zone of the key, take precedence.
pub fn owner<'a, I>(key: &str, zone: &ZoneId, instances: I) -> Option<&'a InstanceId>
where
    I: IntoIterator<Item = (&'a InstanceId, &'a ZoneId)>,
{
    instances.into_iter().max_by_key(|(id, z)| (*z == zone, score(key, id))).map(|(id, _)| id)
}

/// Whether `me` has one of the `count` highest scores for `key` among itself and `others`.
pub fn is_among_top<'a, I>(count: usize, key: &str, me: &InstanceId, others: I) -> bool
where
    I: IntoIterator<Item = &'a InstanceId>,
{
    let own = score(key, me);
    others.into_iter().filter(|id| score(key, id) > own).take(count).count() < count
}

/// Hash of `bytes` that is the same in every process.
pub fn hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}
