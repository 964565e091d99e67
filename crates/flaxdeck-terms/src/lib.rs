//! Reads the settings object that every dispatcher receives when it starts.
//!
//! [`read`] returns the parameters of the decision engine, [`DeploymentTerms`], and [`Names`], which maps names to
//! their indexes in the lists of the settings; [`ConnectionTerms::read`] returns the parameters of connections to
//! hosts. [`fields::Fields`] gives typed access to the fields of JSON objects and is also used to read the platform's
//! other objects. Every error is a [`SettingsError`] that names the field.
//!
//! ```
//! use flaxdeck_terms::fields::Fields;
//!
//! let value = serde_json::json!({"tick_ms": 5, "zone": 3});
//! let settings = Fields::of(&value, "settings").unwrap();
//! assert_eq!(settings.span("tick_ms").unwrap().ms(), 5.0);
//! assert_eq!(settings.text("zone").unwrap_err().to_string(), "field zone is not a string");
//! ```

mod classes;
mod error;
pub mod fields;
mod names;

use flaxdeck::{DeploymentTerms, FillOutcome, RequestClass, Span, ZoneId};

use classes::Classes;
use fields::Fields;
use names::LINK;

pub use error::{ClassNameError, SettingsError};
pub use names::{Names, index_of};

/// Maximum bytes of a name in a client's message.
pub const MAX_NAME: usize = 256;

/// The parameters of connections to hosts, and the longest deadline.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionTerms {
    /// How long establishing a connection may take.
    pub connect_timeout: Span,
    /// The idle time after which hosts close a connection.
    pub idle_timeout: Span,
    /// The longest deadline of any request class.
    pub longest_wait: Span,
}

impl ConnectionTerms {
    /// Reads the parameters from the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a field is missing or not a valid span.
    pub fn read(settings: &Fields) -> Result<ConnectionTerms, SettingsError> {
        let allowed = settings.inner("allowed")?;
        let mut longest_wait = Span::ZERO;
        for class in settings.rows("request_classes")? {
            let deadline = Fields::of(class, "a request class")?.span("deadline_ms")?;
            longest_wait = longest_wait.max(deadline);
        }
        Ok(ConnectionTerms {
            connect_timeout: allowed.span("connect_timeout_ms")?,
            idle_timeout: allowed.span("conn_idle_ms")?,
            longest_wait,
        })
    }
}

/// Returns the fill outcome with the given number, from 1; [`FillOutcome::Nothing`] for any other number.
pub fn fill_outcome(number: u64) -> FillOutcome {
    match number {
        1 => FillOutcome::Hit,
        2 => FillOutcome::Filled,
        3 => FillOutcome::FilledThroughOrigin,
        4 => FillOutcome::Joined,
        5 => FillOutcome::Stale,
        6 => FillOutcome::SourceRefused,
        7 => FillOutcome::SourceUnreached,
        8 => FillOutcome::SourceLacks,
        9 => FillOutcome::NoSlot,
        10 => FillOutcome::OriginFailed,
        _ => FillOutcome::Nothing,
    }
}

/// Reads the parameters of the decision engine, and the names with their indexes in the lists of the settings.
///
/// # Errors
///
/// Returns an error for the first field that is missing, has the wrong type, is out of range or holds an invalid name.
pub fn read(settings: &Fields) -> Result<(DeploymentTerms, Names), SettingsError> {
    let sections = Sections {
        settings,
        family: settings.inner("family_info")?,
        allowed: settings.inner("allowed")?,
        rules: settings.inner("rules")?,
    };
    let zones = settings.texts("zones")?;
    let zone = own_zone(settings, &zones)?;
    let reports = LoadReports::read(&sections)?;
    let Classes { names, classes } = Classes::read(settings, &sections.family)?;
    let terms = deployment_terms(&sections, classes, zone, &reports)?;
    let names = Names::read(&sections, names, zones, reports.fields)?;
    Ok((terms, names))
}

/// The settings and the objects in them that contain most of the fields.
struct Sections<'a> {
    settings: &'a Fields<'a>,
    family: Fields<'a>,
    allowed: Fields<'a>,
    rules: Fields<'a>,
}

/// How hosts report their load.
struct LoadReports {
    /// Hosts report their load only in answers to health checks, and the settings allow those.
    by_health_check: bool,
    /// The names of the values in a report, in order; empty if hosts send no reports.
    fields: Vec<String>,
}

impl LoadReports {
    fn read(sections: &Sections) -> Result<LoadReports, SettingsError> {
        let none = LoadReports {
            by_health_check: false,
            fields: Vec::new(),
        };
        let Some(stats) = sections.settings.get("stats") else {
            return Ok(none);
        };
        let stats = Fields::of(stats, "stats")?;
        let via = stats.text_or_none("via")?;
        let allowed = &sections.allowed;
        let by_health_check = via == Some("on_probe") && allowed.flag_or_false("probes")?;
        if via != Some("inline") && !by_health_check {
            return Ok(none);
        }
        Ok(LoadReports {
            by_health_check,
            fields: stats.texts("fields")?,
        })
    }
}

fn deployment_terms(
    sections: &Sections,
    classes: Vec<RequestClass>,
    zone: ZoneId,
    reports: &LoadReports,
) -> Result<DeploymentTerms, SettingsError> {
    let Sections {
        settings,
        family,
        allowed,
        rules,
    } = sections;
    Ok(DeploymentTerms {
        classes,
        zone,
        zone_dispatchers: zone_dispatchers(family)?,
        dispatchers: settings.number_or("group_size", 1.0)? as u32,
        tick: settings.span("tick_ms")?,
        may_cancel: allowed.flag_or_false("cancel")?,
        may_duplicate: allowed.flag_or_false("may_duplicate")?,
        may_set_retry_after: allowed.flag_or_false("retry_after")?,
        max_retry_after: allowed.span_or_zero("max_retry_after_ms")?,
        most_attempts: allowed.number("max_attempts")? as u32,
        cold_from: rules.number("cold_from")?,
        warm_within: rules.span("warm_within_ms")?,
        overload_factor: rules.number("overload_factor")?,
        overload_window: rules.span("fall_ms")?,
        parent_cold_from: family.number_or("upper_cold_from", 0.0)?,
        parent_warm_within: family.span_or_zero("upper_cold_ms")?,
        parent_overload_factor: family.number_or("upper_fall_multiple", 0.0)?,
        direct: family.flag_or_false("direct")?,
        joins: family.flag_or_false("collapses")?,
        client_kb_per_s: family.number_or("client_kb_per_s", 0.0)?,
        purge_settles: family.span_or_zero("purge_settles_ms")?,
        drain_grace: rules.span_or_zero("stop_sending_within_ms")?,
        purge_grace: family.span_or_zero("purge_grace_ms")?,
        sizes_are_claims: false,
        reports_link_load: index_of(&reports.fields, LINK).is_some(),
        may_poll_load: reports.by_health_check,
    })
}

/// Returns the number of dispatchers in each zone.
fn zone_dispatchers(family: &Fields) -> Result<Vec<u32>, SettingsError> {
    let counts = family.numbers("count_by_zone")?;
    Ok(counts.iter().map(|count| *count as u32).collect())
}

fn own_zone(settings: &Fields, zones: &[String]) -> Result<ZoneId, SettingsError> {
    let zone = settings.text("zone")?;
    match index_of(zones, zone) {
        Some(index) => Ok(ZoneId(index)),
        None => Err(SettingsError::UnknownZone {
            zone: zone.to_owned(),
        }),
    }
}
