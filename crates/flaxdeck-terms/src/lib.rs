//! Reads the settings object that every dispatcher is handed at start: the figures that decisions use become
//! [`DeploymentTerms`], the names that stand for places in lists become [`Names`], what connections need [`Carriage`].

pub mod fields;

use flaxdeck::{
    ClassId, DeploymentTerms, FillOutcome, Repeats, RequestClass, Role, Scope, Span, ZoneId,
};

use fields::Fields;

/// Bytes of the longest name that a client's message may hold.
pub const MAX_NAME: usize = 256;

/// The names that the settings give to numbers.
#[derive(Clone, Debug)]
pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// The values of a load report, in their order; empty where there is none.
    pub report: Vec<String>,
    /// Where in a load report the fullness of the location's link, the requests in hand and the share of capacity in use stand.
    pub link_at: Option<usize>,
    pub in_hand_at: Option<usize>,
    pub busy_at: Option<usize>,
    parent_kind: Option<usize>,
    origin_kind: Option<usize>,
}

/// What the settings say of connections to hosts.
#[derive(Clone, Copy, Debug)]
pub struct Carriage {
    pub connect_within: Span,
    /// Hosts close connections idle for so long.
    pub idle: Span,
    /// The longest that a client waits for an answer.
    pub longest_wait: Span,
}

pub fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

fn kind_place(number: Option<f64>) -> Option<usize> {
    number
        .filter(|place| *place >= 0.0)
        .map(|place| place as usize)
}

impl Names {
    pub fn class(&self, name: &str) -> Option<ClassId> {
        place(&self.classes, name).map(ClassId)
    }

    /// A machine kind of that role, by its place in the list of kinds; none where the list has no such kind.
    pub fn kind_of(&self, role: Role) -> Option<usize> {
        (0..self.kinds.len()).find(|kind| self.role(Some(*kind)) == role)
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

/// What a note on an answer tells, by its number from 1 up.
pub fn told(number: u64) -> FillOutcome {
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

pub fn carriage(settings: &Fields) -> Result<Carriage, String> {
    let allowed = settings.inner("allowed")?;
    let mut longest_wait = Span::ZERO;
    for class in settings.rows("request_classes")? {
        longest_wait = longest_wait.max(Fields::of(class, "a request class")?.span("deadline_ms")?);
    }
    let (connect_within, idle) = (
        allowed.span("connect_timeout_ms")?,
        allowed.span("conn_idle_ms")?,
    );
    Ok(Carriage {
        connect_within,
        idle,
        longest_wait,
    })
}

pub fn read(settings: &Fields) -> Result<(DeploymentTerms, Names), String> {
    let family = settings.inner("family_info")?;
    let allowed = settings.inner("allowed")?;
    let rules = settings.inner("rules")?;
    let zones = settings.texts("zones")?;
    let zone = settings.text("zone")?;
    let zone = place(&zones, zone).ok_or_else(|| format!("zone {zone} is not among the zones"))?;
    let stats = settings
        .get("stats")
        .map(|stats| Fields::of(stats, "stats"))
        .transpose()?;
    let via = stats
        .as_ref()
        .map(|stats| stats.text_or_none("via"))
        .transpose()?
        .flatten();
    let may_look = via == Some("on_probe") && allowed.flag_or_false("probes")?;
    let report = match stats {
        Some(stats) if via == Some("inline") || may_look => stats.texts("fields")?,
        _ => Vec::new(),
    };
    let (parted, through) = (family.flags("class_parts")?, family.flags("goes_through")?);
    let fresh = family.numbers("max_age_ms")?;
    let older = family.numbers("older_by_ms")?;
    let (mut names, mut classes) = (Vec::new(), Vec::new());
    for (at, class) in settings.rows("request_classes")?.iter().enumerate() {
        let class = Fields::of(class, "a request class")?;
        names.push(class_name(class.text("name")?, &names)?);
        classes.push(RequestClass {
            objective: class.span("objective_ms")?,
            stretch: class.number_or("aim_stretch", 0.0)?,
            repeats: repeats(&class)?,
            goes_through: through.get(at).copied().unwrap_or(false),
            parted: parted.get(at).copied().unwrap_or(false),
            fresh: fresh
                .get(at)
                .copied()
                .filter(|ms| *ms > 0.0)
                .map(Span::of_ms),
            older: Span::of_ms(older.get(at).copied().unwrap_or(0.0)),
        });
    }
    if names.is_empty() {
        return Err("field request_classes names no class".to_owned());
    }
    let terms = DeploymentTerms {
        classes,
        zone: ZoneId(zone),
        zone_dispatchers: family
            .numbers("count_by_zone")?
            .iter()
            .map(|n| *n as u32)
            .collect(),
        dispatchers: settings.number_or("group_size", 1.0)? as u32,
        tick: settings.span("tick_ms")?,
        may_cancel: allowed.flag_or_false("cancel")?,
        may_duplicate: allowed.flag_or_false("may_duplicate")?,
        may_name_return: allowed.flag_or_false("retry_after")?,
        longest_return: allowed.span_or_zero("max_retry_after_ms")?,
        most_attempts: allowed.number("max_attempts")? as u32,
        cold_from: rules.number("cold_from")?,
        warm_within: rules.span("warm_within_ms")?,
        overload_factor: rules.number("overload_factor")?,
        fall_window: rules.span("fall_ms")?,
        parent_cold_from: family.number_or("upper_cold_from", 0.0)?,
        parent_warm_within: family.span_or_zero("upper_cold_ms")?,
        parent_overload_factor: family.number_or("upper_fall_multiple", 0.0)?,
        direct: family.flag_or_false("direct")?,
        joins: family.flag_or_false("collapses")?,
        client_kb_per_s: family.number_or("client_kb_per_s", 0.0)?,
        purge_settles: family.span_or_zero("purge_settles_ms")?,
        tells_link: place(&report, "x1").is_some(),
        may_look,
    };
    let names = Names {
        classes: names,
        zones,
        kinds: settings.texts("kinds")?,
        link_at: place(&report, "x1"),
        in_hand_at: place(&report, "outstanding"),
        busy_at: place(&report, "utilization"),
        report,
        parent_kind: kind_place(family.number_or_none("shield_kind")?),
        origin_kind: kind_place(family.number_or_none("source_kind")?),
    };
    Ok((terms, names))
}

/// A class's name, which clients send as a method and hosts get as a word of a line's fields.
fn class_name(name: &str, others: &[String]) -> Result<String, String> {
    let cant_stand =
        |letter: char| letter.is_whitespace() || letter.is_control() || ",=".contains(letter);
    let fault = if name.is_empty() || name.len() > MAX_NAME {
        format!("has {} bytes, 1 to {MAX_NAME} can be sent", name.len())
    } else if name.contains(cant_stand) {
        "holds a space, a comma, an equals sign or a control character, which no line to a host can"
            .to_owned()
    } else if name == "alive" {
        "is the method by which clients ask whether a dispatcher is up".to_owned()
    } else if others.iter().any(|other| other == name) {
        "is that of two classes".to_owned()
    } else {
        return Ok(name.to_owned());
    };
    Err(format!("request_classes: field name: {name:?} {fault}"))
}

fn repeats(class: &Fields) -> Result<Repeats, String> {
    Ok(match class.text("effect")? {
        "idempotent" => Repeats::Idempotent,
        "at_most_once" => Repeats::AtMostOnce,
        "deduplicated" => Repeats::Deduplicated {
            scope: match class.text_or_none("key_scope")? {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                Some("cell") => Scope::Cell,
                other => return Err(format!("unknown key_scope {other:?}")),
            },
            remembered: class.span("memory_span_ms")?,
        },
        other => return Err(format!("unknown effect {other}")),
    })
}
