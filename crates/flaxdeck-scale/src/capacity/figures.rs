//! How figures are written on the page.

/// Groups of three digits, from the right.
fn grouped(digits: &str) -> String {
    let mut out = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

/// A count, whole.
pub fn count(value: f64) -> String {
    let digits = grouped(&format!("{:.0}", value.abs()));
    if value <= -0.5 {
        format!("-{digits}")
    } else {
        digits
    }
}

/// A figure with three significant digits.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    if size == 0.0 {
        return "0".to_owned();
    }
    let magnitude = size.log10().floor() as i32;
    if magnitude >= 3 {
        let unit = 10f64.powi(magnitude - 2);
        return count((value / unit).round() * unit);
    }
    let decimals = (2 - magnitude).clamp(0, 12) as usize;
    let text = format!("{value:.decimals$}");
    if text.contains('.') {
        text.trim_end_matches('0').trim_end_matches('.').to_owned()
    } else {
        text
    }
}

/// Seconds as milliseconds, seconds, minutes or hours.
pub fn span(seconds: f64) -> String {
    match seconds {
        short if short < 1.0 => format!("{} ms", figure(short * 1e3)),
        short if short < 120.0 => format!("{} s", figure(short)),
        short if short < 7_200.0 => format!("{} min", figure(short / 60.0)),
        long => format!("{} h", figure(long / 3_600.0)),
    }
}
