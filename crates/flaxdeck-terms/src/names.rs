//! The names that the settings give to numbers.

use flaxdeck::{ClassId, Role};

use crate::Sections;
use crate::error::SettingsError;

/// The value of a load report that tells how full the location's link is.
pub(crate) const LINK: &str = "x1";
/// The value of a load report that tells how many requests are in hand.
const IN_HAND: &str = "outstanding";
/// The value of a load report that tells the fraction of capacity in use.
const BUSY: &str = "utilization";

/// The names that the settings give to numbers: a number is a name's place in its list.
#[derive(Clone, Debug)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of machines.
    pub machine_kinds: Vec<String>,
    /// The values of a load report, in their order; empty where hosts send none.
    pub report_fields: Vec<String>,
    /// Where in a load report the fullness of the location's link stands.
    pub link_index: Option<usize>,
    /// Where in a load report the number of requests in hand stands.
    pub in_hand_index: Option<usize>,
    /// Where in a load report the fraction of capacity in use stands.
    pub busy_index: Option<usize>,
    parent_kind: Option<usize>,
    origin_kind: Option<usize>,
}

/// A name's place in a list; none if the list does not have it.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

impl Names {
    /// The names of the settings, with the lists that were read before.
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

    /// The request class of that name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        index_of(&self.classes, name).map(ClassId)
    }

    /// A machine kind of that role, by its place in the list of kinds; none where the list has no such kind.
    pub fn kind_of(&self, role: Role) -> Option<usize> {
        (0..self.machine_kinds.len()).find(|kind| self.role(Some(*kind)) == role)
    }

    /// The role of a machine kind, by its place in the list of kinds.
    pub fn role(&self, kind: Option<usize>) -> Role {
        match kind {
            Some(kind) if Some(kind) == self.parent_kind => Role::Parent,
            Some(kind) if Some(kind) == self.origin_kind => Role::Origin,
            _ => Role::Cache,
        }
    }
}

/// The settings write a negative number where no kind has the role.
fn kind_index(number: Option<f64>) -> Option<usize> {
    number
        .filter(|index| *index >= 0.0)
        .map(|index| index as usize)
}
