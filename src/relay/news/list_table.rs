//! Compact encoding of entries of backend servers: JSON rows without field names, with each service and zone named once.
//! An entry takes some 75 bytes, compared to 270 as an object of its own.

use {
    crate::{
        engine::EngineRole,
        relay::{
            backend::BackendInfo,
            link::{StoreChange, StoreItem, StoreValue},
            software_version::SoftwareVersion,
        },
    },
    capnp::{Error, Result},
    faststr::FastStr,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Changes of backend servers, in order.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct ChangeTable {
    // Names of services, zones and software versions, to which rows refer by their index.
    names: Vec<FastStr>,
    rows: Vec<ChangeRow>,
    // Index of the software version of each entry, in the order of the rows that have one; none if it is not known. Not a
    // column, since hosts of earlier versions reject rows that are longer than theirs.
    #[serde(default)]
    software: Vec<Option<usize>>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum ChangeRow {
    Set(EntryRow),
    Removed(FastStr),
}

/// Id, start of the run, index of the service, address, index of the zone, whether it is leaving, slots, role, orders
/// taken.
#[derive(Debug, Serialize, Deserialize)]
struct EntryRow(
    FastStr,
    u64,
    usize,
    SocketAddr,
    usize,
    bool,
    u32,
    Option<EngineRole>,
    u64,
    // How much longer it is cold; left out if it is not.
    #[serde(default, skip_serializing_if = "Duration::is_zero")] Duration,
);

impl ChangeTable {
    /// The table of changes; those of other kinds of objects are left out.
    pub fn of_changes(changes: &[StoreChange]) -> Self {
        let mut table = Self::default();
        for change in changes {
            match change {
                StoreChange::Set(StoreItem {
                    value: StoreValue::Backend(info),
                    ..
                }) => table.push_entry(info),
                StoreChange::Set(_) => {}
                StoreChange::Removed(id) => table.rows.push(ChangeRow::Removed(id.clone())),
            }
        }
        table
    }

    /// The table of entries.
    pub fn of_entries(entries: &[BackendInfo]) -> Self {
        let mut table = Self::default();
        entries.iter().for_each(|info| table.push_entry(info));
        table
    }

    fn push_entry(&mut self, info: &BackendInfo) {
        let row = EntryRow(
            info.id.clone(),
            info.born,
            self.index_of(&info.service),
            info.address,
            self.index_of(&info.zone),
            info.leaving,
            info.slots,
            info.role,
            info.orders_taken,
            info.cold_left,
        );
        self.rows.push(ChangeRow::Set(row));
        let software = Option::<FastStr>::from(info.software.clone());
        let software = software.map(|name| self.index_of(&name));
        self.software.push(software);
    }

    fn index_of(&mut self, name: &FastStr) -> usize {
        let known = self.names.iter().position(|known| known == name);
        known.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        })
    }

    /// The changes; fails if a row refers to a name that the table lacks.
    pub fn into_changes(self) -> Result<Vec<StoreChange>> {
        let Self {
            names,
            rows,
            software,
        } = self;
        let mut software = software.into_iter();
        let changes = rows.into_iter().map(|row| match row {
            ChangeRow::Set(row) => {
                let info = row.into_backend(&names, software.next().flatten())?;
                Ok(StoreChange::of_backend(info))
            }
            ChangeRow::Removed(id) => Ok(StoreChange::Removed(id)),
        });
        changes.collect()
    }

    /// The entries; fails if a row refers to a name that the table lacks.
    pub fn into_entries(self) -> Result<Vec<BackendInfo>> {
        let changes = self.into_changes()?.into_iter();
        let entries = changes.filter_map(|change| match change {
            StoreChange::Set(StoreItem {
                value: StoreValue::Backend(info),
                ..
            }) => Some(info),
            StoreChange::Set(_) | StoreChange::Removed(_) => None,
        });
        Ok(entries.collect())
    }
}

impl EntryRow {
    fn into_backend(self, names: &[FastStr], software: Option<usize>) -> Result<BackendInfo> {
        let Self(id, born, service, address, zone, leaving, slots, role, orders_taken, cold_left) =
            self;
        let name = |index: usize| {
            let name = names.get(index).cloned();
            name.ok_or_else(|| Error::failed(format!("no name {index} in a table of entries")))
        };
        Ok(BackendInfo {
            id,
            born,
            service: name(service)?,
            address,
            zone: name(zone)?,
            leaving,
            slots,
            role,
            orders_taken,
            cold_left,
            software: SoftwareVersion::from(software.map(name).transpose()?),
        })
    }
}
