//! The names in the settings, which stand for numbers.

use flaxdeck::{ClassId, Role};

use crate::Sections;
use crate::error::SettingsError;

/// The value of a load report that holds the utilization of the location's link.
pub(crate) const LINK: &str = "x1";
/// The value of a load report that holds the number of requests in flight at the host.
const IN_HAND: &str = "outstanding";
/// The value of a load report that holds the fraction of the host's capacity in use.
const BUSY: &str = "utilization";

/// The lists of names in the settings. A name stands for the number that is its index in its list.
#[derive(Clone, Debug)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machines.
    pub machine_kinds: Vec<String>,
    /// The names of the values in a load report, in order; empty if hosts send no reports.
    pub report_fields: Vec<String>,
    /// The index in `report_fields` of the utilization of the location's link.
    pub link_index: Option<usize>,
    /// The index in `report_fields` of the number of requests in flight at the host.
    pub in_hand_index: Option<usize>,
    /// The index in `report_fields` of the fraction of the host's capacity in use.
    pub busy_index: Option<usize>,
    parent_kind: Option<usize>,
    origin_kind: Option<usize>,
}

/// Returns the index of a name in a list; none if the list does not contain it.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Names {
    /// Reads the remaining names of the settings; the given lists have been read already.
    pub(crate) fn read(
        sections: &Sections,
        classes: Vec<String>,
        zones: Vec<String>,
        report_fields: Vec<String>,
    ) -> Result<Names, SettingsError> {
        let Sections {
            settings, family, ..
        } = sections;
        Ok(Names {
            classes,
            zones,
            machine_kinds: settings.texts("kinds")?,
            link_index: index_of(&report_fields, LINK),
            in_hand_index: index_of(&report_fields, IN_HAND),
            busy_index: index_of(&report_fields, BUSY),
            report_fields,
            parent_kind: kind_index(family.number_or_none("shield_kind")?),
            origin_kind: kind_index(family.number_or_none("source_kind")?),
        })
    }

    /// Returns the request class with the given name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.classes, name).map(ClassId)
    }

    /// Returns the index of the first machine kind with the given role; none if there is no such kind.
    pub fn kind_of(&self, role: Role) -> Option<usize> {
        (0..self.machine_kinds.len()).find(|kind| self.role(Some(*kind)) == role)
    }

    /// Returns the role of the machine kind with the given index; an unknown kind is a cache.
    pub fn role(&self, kind: Option<usize>) -> Role {
        match kind {
            Some(kind) if Some(kind) == self.parent_kind => Role::Parent,
            Some(kind) if Some(kind) == self.origin_kind => Role::Origin,
            _ => Role::Cache,
        }
    }
}

/// Converts the index of a role's machine kind; the settings have a negative number if no kind has the role.
fn kind_index(number: Option<f64>) -> Option<usize> {
    number
        .filter(|index| *index >= 0.0)
        .map(|index| index as usize)
}
