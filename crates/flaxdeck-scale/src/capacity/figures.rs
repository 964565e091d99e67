//! Formatting of figures on the page and in charts.

/// Separates digits with commas into groups of three, from the right.
fn group_digits(digits: &str) -> String {
    let mut out = String::new();
    for (at, digit) in digits.chars().enumerate() {
        if at > 0 && (digits.len() - at).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

/// Formats a value rounded to an integer, with digit groups.
pub fn count(value: f64) -> String {
    let digits = group_digits(&format!("{:.0}", value.abs()));
    if value <= -0.5 {
        format!("-{digits}")
    } else {
        digits
    }
}

/// Formats a value with three significant digits.
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

/// Formats a number of seconds in milliseconds, seconds, minutes or hours, whichever suits its size.
pub fn duration(seconds: f64) -> String {
    match seconds {
        short if short < 1.0 => format!("{} ms", figure(short * 1e3)),
        short if short < 120.0 => format!("{} s", figure(short)),
        short if short < 7_200.0 => format!("{} min", figure(short / 60.0)),
        long => format!("{} h", figure(long / 3_600.0)),
    }
}
