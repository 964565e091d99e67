//! Linear least squares for a small number of columns, solved by the normal equations.

/// A pivot below this fraction of its column's squared norm counts as zero: the columns are linearly dependent.
const SINGULAR: f64 = 1e-9;

/// The best-fitting coefficients and their residual.
#[derive(Clone, Debug, PartialEq)]
pub struct Solution {
    /// One coefficient for each column.
    pub coefficients: Vec<f64>,
    /// Root mean square of the residuals, in the unit of the values.
    pub residual: f64,
}

/// Returns the coefficients that minimize the squared differences between the weighted sums of the rows and the values.
/// Returns `None` if there are fewer rows than columns, or if the columns are linearly dependent. `rows[i][j]` is
/// column `j` of point `i`.
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

/// Returns the value that the coefficients predict for a row.
pub fn predict(row: &[f64], coefficients: &[f64]) -> f64 {
    row.iter()
        .zip(coefficients)
        .map(|(column, coefficient)| column * coefficient)
        .sum()
}

/// Returns the largest absolute value of each column. Columns are divided by it so that different units weigh alike.
/// `None` if a column is all zero.
fn column_scales(rows: &[Vec<f64>], width: usize) -> Option<Vec<f64>> {
    let largest = |column: usize| rows.iter().map(|row| row[column].abs()).fold(0.0, f64::max);
    let scales: Vec<f64> = (0..width).map(largest).collect();
    scales.iter().all(|scale| *scale > 0.0).then_some(scales)
}

/// Returns the augmented matrix of the normal equations; the last column is the right-hand side.
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

/// Gaussian elimination. The matrix is symmetric and, if the columns are independent, positive definite, so the
/// diagonal elements serve as pivots without row exchanges. Returns `None` if a pivot is zero.
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
