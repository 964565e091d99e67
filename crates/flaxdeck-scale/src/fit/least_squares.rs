//! Least squares of a few columns by the normal equations.

/// Part of its column's own square below which a pivot counts as zero: then columns depend on each other.
const SINGULAR: f64 = 1e-9;

/// Coefficients that fit best, and how far off they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    /// One for each column.
    pub coefficients: Vec<f64>,
    /// Root of the mean square of the residuals, in the unit of the values.
    pub residual: f64,
}

/// The coefficients of the columns that bring the sum of the rows nearest to the values. None if there are fewer rows than
/// columns, or if the columns depend on each other. `rows[i][j]` is column `j` of point `i`.
pub fn least_squares(rows: &[Vec<f64>], values: &[f64]) -> Option<Solution> {
    let width = rows.first()?.len();
    if rows.len() < width || rows.len() != values.len() {
        return None;
    }
    let scales = column_scales(rows, width)?;
    let mut equations = normal_equations(rows, values, &scales);
    eliminate(&mut equations)?;
    let scaled = substitute_back(&equations);
    let coefficients: Vec<f64> = scaled
        .iter()
        .zip(&scales)
        .map(|(value, scale)| value / scale)
        .collect();
    let residual = root_mean_square(rows, values, &coefficients);
    Some(Solution {
        coefficients,
        residual,
    })
}

/// The value that coefficients give for a row.
pub fn predict(row: &[f64], coefficients: &[f64]) -> f64 {
    row.iter()
        .zip(coefficients)
        .map(|(column, coefficient)| column * coefficient)
        .sum()
}

/// The largest of each column, by which it is divided so that columns of different units weigh alike.
fn column_scales(rows: &[Vec<f64>], width: usize) -> Option<Vec<f64>> {
    let largest = |column: usize| rows.iter().map(|row| row[column].abs()).fold(0.0, f64::max);
    let scales: Vec<f64> = (0..width).map(largest).collect();
    scales.iter().all(|scale| *scale > 0.0).then_some(scales)
}

/// The matrix of the normal equations, with the right side as its last column.
fn normal_equations(rows: &[Vec<f64>], values: &[f64], scales: &[f64]) -> Vec<Vec<f64>> {
    let width = scales.len();
    let mut equations = vec![vec![0.0; width + 1]; width];
    for (row, value) in rows.iter().zip(values) {
        let scaled: Vec<f64> = row
            .iter()
            .zip(scales)
            .map(|(column, scale)| column / scale)
            .collect();
        for (at, equation) in equations.iter_mut().enumerate() {
            for (to, sum) in equation.iter_mut().enumerate() {
                *sum += scaled[at] * scaled.get(to).unwrap_or(value);
            }
        }
    }
    equations
}

/// Gauss's elimination. The matrix is symmetric and, where columns are independent, positive definite, so the pivots on the
/// diagonal will do.
fn eliminate(equations: &mut [Vec<f64>]) -> Option<()> {
    let squares: Vec<f64> = equations
        .iter()
        .enumerate()
        .map(|(at, equation)| equation[at])
        .collect();
    for at in 0..equations.len() {
        let pivot = equations[at].clone();
        if pivot[at] <= SINGULAR * squares[at] {
            return None;
        }
        for below in &mut equations[at + 1..] {
            let part = below[at] / pivot[at];
            for (to, sum) in below.iter_mut().enumerate() {
                *sum -= part * pivot[to];
            }
        }
    }
    Some(())
}

fn substitute_back(equations: &[Vec<f64>]) -> Vec<f64> {
    let width = equations.len();
    let mut solved = vec![0.0; width];
    for at in (0..width).rev() {
        let equation = &equations[at];
        let known: f64 = (at + 1..width).map(|to| equation[to] * solved[to]).sum();
        solved[at] = (equation[width] - known) / equation[at];
    }
    solved
}

fn root_mean_square(rows: &[Vec<f64>], values: &[f64], coefficients: &[f64]) -> f64 {
    let square = |(row, value): (&Vec<f64>, &f64)| (value - predict(row, coefficients)).powi(2);
    let sum: f64 = rows.iter().zip(values).map(square).sum();
    (sum / values.len() as f64).sqrt()
}
