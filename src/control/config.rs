//! Which configuration is in force: the highest generation that was accepted, never an older one.
//!
//! Operators write objects; a host that sees a change checks all of them as one set and writes them
//! as one object, the accepted configuration, with a generation one above the last. The write is
//! conditional, so that of several hosts one succeeds. All hosts put in force only what was accepted.

use {
    super::patch::{self, ObjectKey, SetPatch},
    crate::{
        object::{AnyObject, ObjectFault, ObjectMeta, ObjectSet, kind},
        store::ObjectList,
    },
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Name of the one accepted configuration.
pub const ACCEPTED_NAME: &str = "current";

/// Operators' objects that were checked as a whole and accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AcceptedConfig {
    /// Counts up by one with each accepted change.
    pub generation: u64,
    /// Version of the store that the objects were read at.
    pub source_version: u64,
    /// The operators' objects.
    pub objects: Vec<AnyObject>,
}

/// What a host passes on of its configuration to one that has an older one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Generation that it leads to.
    pub generation: u64,
    /// Version of the store that the objects were read at.
    pub source_version: u64,
    /// What changed.
    pub objects: SetPatch<AnyObject>,
}

fn identify(object: &AnyObject) -> (ObjectKey, &ObjectMeta) {
    let key = (object.kind.clone(), object.metadata.name.clone());
    (key, &object.metadata)
}

impl AcceptedConfig {
    /// What to pass on to a host that has the objects as of `since`; 0 gives the whole.
    pub fn patch_since(&self, since: u64) -> ConfigPatch {
        ConfigPatch {
            generation: self.generation,
            source_version: self.source_version,
            objects: patch::make_patch(&self.objects, since, identify),
        }
    }

    /// This configuration after a patch; none when the whole has to be asked for.
    pub fn patched(&self, patch: &ConfigPatch) -> Option<Self> {
        let objects = patch::apply_patch(&self.objects, &patch.objects, identify)?;
        Some(Self {
            generation: patch.generation,
            source_version: patch.source_version,
            objects,
        })
    }
}

/// What became of an offered configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigOffer {
    /// It is newer and in force now.
    InForce,
    /// It is the one in force.
    Same,
    /// It is older than the one in force, and ignored.
    Older,
    /// It does not pass the checks, and is ignored.
    Faulty(Vec<ObjectFault>),
}

/// What a reading of the store asks this host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigStep {
    /// Nothing.
    Nothing,
    /// Write this object: the next accepted configuration.
    Accept(Box<AnyObject>),
    /// Tell operators what is wrong with their objects.
    Reject(Vec<ObjectFault>),
}

/// Holds the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigKeeper {
    in_force: Arc<AcceptedConfig>,
    objects: Arc<ObjectSet>,
}

impl ConfigKeeper {
    /// The configuration in force; generation 0 before there is one.
    pub fn in_force(&self) -> Arc<AcceptedConfig> {
        self.in_force.clone()
    }

    /// Its objects, read.
    pub fn objects(&self) -> Arc<ObjectSet> {
        self.objects.clone()
    }

    /// Takes a configuration that somebody says was accepted.
    pub fn offer(&mut self, config: AcceptedConfig) -> ConfigOffer {
        let before = self.in_force.generation;
        if config.generation < before {
            return ConfigOffer::Older;
        }
        if config.generation == before {
            return ConfigOffer::Same;
        }
        match ObjectSet::read(&config.objects) {
            Ok(objects) => {
                self.objects = Arc::new(objects);
                self.in_force = Arc::new(config);
                assert!(self.in_force.generation > before, "never an older one");
                ConfigOffer::InForce
            }
            Err(faults) => ConfigOffer::Faulty(faults),
        }
    }

    /// Takes a reading of the store: the accepted configuration in it, and what is to be done.
    pub fn read_store(&mut self, list: &ObjectList) -> (ConfigOffer, ConfigStep) {
        let found = list
            .items
            .iter()
            .find(|object| object.kind == kind::ACCEPTED && object.metadata.name == ACCEPTED_NAME);
        let (accepted, version) = match found {
            Some(object) => match serde_json::from_value(object.spec.clone()) {
                Ok(config) => (config, object.metadata.resource_version),
                Err(error) => {
                    let fault = object.fault("spec", error.to_string());
                    let faults = vec![fault];
                    return (
                        ConfigOffer::Faulty(faults.clone()),
                        ConfigStep::Reject(faults),
                    );
                }
            },
            None => (AcceptedConfig::default(), 0),
        };
        let offer = self.offer(accepted.clone());
        // A stale reading tells nothing of what operators want now.
        if offer == ConfigOffer::Older {
            return (offer, ConfigStep::Nothing);
        }
        (offer, next_step(list, &accepted, version))
    }
}

// Whether the operators' objects differ from those accepted, and whether they pass.
fn next_step(list: &ObjectList, accepted: &AcceptedConfig, version: u64) -> ConfigStep {
    let wanted: Vec<AnyObject> = list
        .items
        .iter()
        .filter(|object| object.is_operators())
        .cloned()
        .collect();
    let unchanged = wanted == accepted.objects;
    let nothing_yet = wanted.is_empty() && accepted.generation == 0;
    if unchanged || nothing_yet || is_older_reading(list, &wanted, accepted) {
        return ConfigStep::Nothing;
    }
    if let Err(faults) = ObjectSet::read(&wanted) {
        return ConfigStep::Reject(faults);
    }
    let next = AcceptedConfig {
        generation: accepted.generation + 1,
        source_version: list.resource_version,
        objects: wanted,
    };
    ConfigStep::Accept(Box::new(accepted_object(&next, version)))
}

// A reading that shows less than what was accepted from is not what operators want now, even if it
// shows the newest accepted configuration: a store may answer partly with an old state.
fn is_older_reading(list: &ObjectList, wanted: &[AnyObject], accepted: &AcceptedConfig) -> bool {
    if list.resource_version <= accepted.source_version {
        return true;
    }
    wanted.iter().any(|object| {
        let mut known = accepted.objects.iter();
        let before = known
            .find(|known| known.kind == object.kind && known.metadata.name == object.metadata.name);
        before.is_some_and(|before| {
            object.metadata.resource_version < before.metadata.resource_version
        })
    })
}

/// The object that holds an accepted configuration.
pub fn accepted_object(config: &AcceptedConfig, version: u64) -> AnyObject {
    AnyObject {
        kind: FastStr::from_static_str(kind::ACCEPTED),
        metadata: ObjectMeta {
            name: FastStr::from_static_str(ACCEPTED_NAME),
            resource_version: version,
            ..ObjectMeta::default()
        },
        spec: serde_json::to_value(config).expect("objects are JSON"),
    }
}
