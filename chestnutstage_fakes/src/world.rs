//! A small deployment on loopback: addresses of all processes, and the settings of each instance.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use chestnutstage_config::fleet::{Change, Customer, Defaults, ServiceRule};
use chestnutstage_config::key::KeyHash;
use chestnutstage_core::contract::Contract;
use chestnutstage_core::endpoint::{Endpoint, Kind, Speed};
use chestnutstage_core::length::Tokens;
use chestnutstage_core::window::{Capacity, Load};
use serde::{Deserialize, Serialize};

use crate::platform::{Listed, Listing};

/// Model that all engines serve.
pub const MODEL: &str = "frost-70b";
/// Name of the plain service.
pub const SERVICE: &str = "bookings";
/// KV memory of one engine.
const ENGINE_KV_MEMORY: Tokens = Tokens(450_000);

/// Size of a deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Availability zones.
    pub zones: Vec<String>,
    /// Number of chestnutstage instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of replicas of the plain service.
    pub services: usize,
    /// Number of customers.
    pub customers: usize,
    /// First port of the deployment.
    pub port: u16,
}

/// A deployment, as `world.toml` stores it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct World {
    /// Address of the platform.
    pub platform: String,
    /// Base URLs of the instances for callers, by instance id.
    pub callers: BTreeMap<String, String>,
    /// API keys of the customers, by name.
    pub customers: BTreeMap<String, String>,
    /// Tokens of the operators, by office.
    pub operators: BTreeMap<String, String>,
    /// Instance list of the platform.
    pub listing: Listing,
}

/// Entry of an engine in the instance list.
pub fn engine(id: &str, zone: &str, address: &str) -> Endpoint {
    Endpoint {
        id: id.into(),
        zone: zone.into(),
        address: address.to_owned(),
        kind: Kind::Engine,
        models: vec![MODEL.into()],
        capacity: Capacity {
            cold: Load { requests: 2, tokens: Tokens(16_000) },
            warm: Load { requests: 48, tokens: Tokens(120_000) },
        },
        speed: Speed { prefill: 60_000, step: 20_000 },
        memory: ENGINE_KV_MEMORY,
        fenced: true,
        leaving: false,
    }
}

/// Entry of a replica of the plain service in the instance list.
pub fn service(id: &str, zone: &str, address: &str) -> Endpoint {
    let load = Load { requests: 64, tokens: Tokens(64) };
    Endpoint {
        id: id.into(),
        zone: zone.into(),
        address: address.to_owned(),
        kind: Kind::Service,
        models: vec![SERVICE.into()],
        capacity: Capacity { cold: load, warm: load },
        speed: Speed { prefill: 1_000, step: 1_000 },
        memory: Tokens(1_000_000),
        fenced: false,
        leaving: false,
    }
}

/// Changes with which an operator sets the defaults and adds the customers of a deployment.
pub fn first_changes(customers: &BTreeMap<String, String>, rate: u64) -> Vec<Change> {
    let contract = Contract { rate, ..Contract::default() };
    let services = BTreeMap::from([(SERVICE.into(), ServiceRule { repeatable: false })]);
    let defaults = Defaults { contract, services, ..Defaults::default() };
    let put = |(name, key): (&String, &String)| {
        Change::PutCustomer(name.as_str().into(), Customer { key: KeyHash::of(key) })
    };
    std::iter::once(Change::SetDefaults(defaults)).chain(customers.iter().map(put)).collect()
}

impl World {
    /// Creates a deployment of the size of `plan`, with consecutive ports.
    pub fn new(plan: &Plan) -> Self {
        let mut port = plan.port;
        let mut next_address = || {
            port += 1;
            format!("127.0.0.1:{}", port - 1)
        };
        let platform = next_address();
        let zone = |i: usize| plan.zones[i % plan.zones.len()].clone();
        let mut listing = Listing::default();
        let mut callers = BTreeMap::new();
        for i in 0..plan.instances {
            let id = format!("i{}", i + 1);
            callers.insert(id.clone(), format!("http://{}", next_address()));
            if let Ok(peer) = next_address().parse() {
                listing.instances.push(Listed { id, peer, zone: zone(i), leaving: false });
            }
        }
        for i in 0..plan.engines {
            listing.endpoints.push(engine(&format!("e{}", i + 1), &zone(i), &next_address()));
        }
        for i in 0..plan.services {
            listing.endpoints.push(service(&format!("s{}", i + 1), &zone(i), &next_address()));
        }
        let customers = (1..=plan.customers).map(|i| (format!("c{i}"), format!("key-of-c{i}"))).collect();
        let operators = ["north", "south"].map(|o| (o.to_owned(), format!("token-of-{o}"))).into();
        Self { platform, callers, customers, operators, listing }
    }

    /// Raises the capacity of the engines, for measurements that only the instances should limit.
    pub fn raise_capacity(&mut self) {
        let load = Load { requests: 400, tokens: Tokens(10_000_000) };
        for engine in self.listing.endpoints.iter_mut().filter(|e| e.kind == Kind::Engine) {
            engine.capacity = Capacity { cold: load, warm: load };
        }
    }

    /// Reads a deployment from its folder.
    ///
    /// # Errors
    ///
    /// The file can't be read or parsed.
    pub fn load(folder: &Path) -> Result<Self, String> {
        let path = folder.join("world.toml");
        let text = fs::read_to_string(&path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
        toml::from_str(&text).map_err(|e| format!("cannot parse {}: {e}", path.display()))
    }

    /// Writes the deployment, and the settings of each instance, to a folder.
    ///
    /// # Errors
    ///
    /// A file can't be written.
    pub fn save(&self, folder: &Path) -> Result<(), String> {
        let write = |path: PathBuf, text: String| {
            fs::write(&path, text).map_err(|e| format!("cannot write {}: {e}", path.display()))
        };
        fs::create_dir_all(folder).map_err(|e| format!("cannot create {}: {e}", folder.display()))?;
        write(folder.join("world.toml"), toml::to_string(self).map_err(|e| e.to_string())?)?;
        for instance in &self.listing.instances {
            write(folder.join(format!("{}.toml", instance.id)), self.settings(instance))?;
        }
        Ok(())
    }

    /// Settings of one instance; they expect its certificates in the folder `certs` next to the settings file.
    pub fn settings(&self, instance: &Listed) -> String {
        let (id, zone, peer) = (&instance.id, &instance.zone, instance.peer);
        let listen = self.callers[id].trim_start_matches("http://");
        let platform = format!("http://{}", self.platform);
        let seed = |i: &Listed| format!("    {{ id = \"{}\", peer = \"{}\" }},\n", i.id, i.peer);
        let seeds: String = self.listing.instances.iter().map(seed).collect();
        let operator = |(office, token): (&String, &String)| {
            let hash = KeyHash::of(token);
            format!("\n[[operators]]\nname = \"{office} desk\"\noffice = \"{office}\"\ntoken = \"{hash}\"\n")
        };
        let operators: String = self.operators.iter().map(operator).collect();
        format!(
            "[instance]\nid = \"{id}\"\nzone = \"{zone}\"\nlisten = \"{listen}\"\npeer = \"{peer}\"\n\n\
             [fleet]\nauthority = \"certs/authority.pem\"\ncertificate = \"certs/{id}.pem\"\n\
             key = \"certs/{id}.key\"\nseeds = [\n{seeds}]\n\n\
             [platform]\ntables = \"{platform}\"\nobjects = \"{platform}\"\ninstances = \"{platform}\"\n\
             {operators}"
        )
    }
}
