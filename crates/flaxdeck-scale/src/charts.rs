//! Draws charts of the measured points and the lines fitted to them, as SVG.

use std::error::Error;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Circle, Color, DrawingArea, IntoDrawingArea,
    LineSeries, RGBColor, SVGBackend, WHITE,
};

use crate::error::CapacityError;
use crate::fit::line::{Evidence, Line};
use crate::fit::nature::{Size, Term};
use crate::fit::{NO_FAULT, fit, valid_measurements};
use crate::measurement::{Distribution, Measurement, Metric, Role};

/// Width and height of a chart in pixels.
const SIZE: (u32, u32) = (760, 460);
const FONT: &str = "sans-serif";
/// Font size of the title in pixels.
const TITLE_SIZE: i32 = 18;
/// Radius of a point in pixels.
const POINT_RADIUS: u32 = 4;
/// Length of an axis relative to the largest value on it.
const HEADROOM: f64 = 1.1;

/// One chart: the sum of some metrics of a role, over all message kinds, plotted against one driver.
struct Chart {
    file: &'static str,
    title: &'static str,
    role: Role,
    metrics: &'static [Metric],
    driver: Term,
    unit: &'static str,
}

const CHARTS: [Chart; 5] = [
    Chart {
        file: "dispatcher-bytes.svg",
        title: "Control of one dispatcher, both ways, with headers",
        role: Role::HollowForwarder,
        metrics: &[
            Metric::BytesInPerS,
            Metric::BytesOutPerS,
            Metric::HeaderBytesPerS,
        ],
        driver: Term::Purges,
        unit: "bytes a second",
    },
    Chart {
        file: "dispatcher-memory.svg",
        title: "Resident memory of one dispatcher's control",
        role: Role::HollowForwarder,
        metrics: &[Metric::ResidentBytes],
        driver: Term::Hosts,
        unit: "bytes",
    },
    Chart {
        file: "planner-bytes.svg",
        title: "Bytes that a planner sends",
        role: Role::Planner,
        metrics: &[Metric::BytesOutPerS],
        driver: Term::ForwarderPurges,
        unit: "bytes a second",
    },
    Chart {
        file: "planner-cores.svg",
        title: "Processor time of a planner",
        role: Role::Planner,
        metrics: &[Metric::Cores],
        driver: Term::ForwarderPurges,
        unit: "cores",
    },
    Chart {
        file: "delays.svg",
        title: "Worst delay from the coordinator to in force",
        role: Role::HollowForwarder,
        metrics: &[Metric::DelayWorstMs],
        driver: Term::Forwarders,
        unit: "ms",
    },
];

/// A measured point: the size of one run and its value, summed over all message kinds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Point {
    size: Size,
    value: f64,
}

type Plot<'area, 'text> =
    ChartContext<'area, SVGBackend<'text>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The measured points of one distribution.
struct PointSeries {
    distribution: Distribution,
    points: Vec<Point>,
}

/// The upper ends of a chart's axes.
#[derive(Clone, Copy)]
struct Extent {
    right: f64,
    top: f64,
}

/// Draws all charts for which the measurements have points and returns the files written.
///
/// # Errors
///
/// [`CapacityError::Chart`] if a chart can't be drawn, [`CapacityError::File`] if its file can't be written.
pub fn draw(measurements: &[Measurement], folder: &Path) -> Result<Vec<PathBuf>, CapacityError> {
    let lines = fit(measurements);
    let measurements = valid_measurements(measurements);
    let mut written = Vec::new();
    for chart in &CHARTS {
        let path = folder.join(chart.file);
        if chart.draw(&measurements, &lines, &path)? {
            written.push(path);
        }
    }
    Ok(written)
}

/// Returns file and title of each chart that has points in the measurements behind these lines.
pub fn titles(lines: &[Line]) -> Vec<(&'static str, &'static str)> {
    let has_points = |chart: &&Chart| {
        let is_plotted = |line: &Line| {
            line.series.fault == NO_FAULT && chart.includes(line.series.role, line.series.metric)
        };
        lines.iter().any(is_plotted)
    };
    CHARTS
        .iter()
        .filter(has_points)
        .map(|chart| (chart.file, chart.title))
        .collect()
}

impl Chart {
    fn includes(&self, role: Role, metric: Metric) -> bool {
        role == self.role && self.metrics.contains(&metric)
    }

    /// Writes the chart to a file. Returns false, and writes nothing, if there are no points.
    fn draw(
        &self,
        measurements: &[&Measurement],
        lines: &[Line],
        path: &Path,
    ) -> Result<bool, CapacityError> {
        let series: Vec<PointSeries> = [Distribution::EachEvent, Distribution::Digest]
            .into_iter()
            .map(|distribution| PointSeries {
                distribution,
                points: self.points(measurements, distribution),
            })
            .filter(|series| !series.points.is_empty())
            .collect();
        if series.is_empty() {
            return Ok(false);
        }
        let text = self
            .svg(&series, lines)
            .map_err(|error| CapacityError::Chart {
                path: path.to_owned(),
                cause: error.to_string(),
            })?;
        std::fs::write(path, text).map_err(|source| CapacityError::File {
            path: path.to_owned(),
            source,
        })?;
        Ok(true)
    }

    /// Returns the points of runs without a fault.
    fn points(&self, measurements: &[&Measurement], distribution: Distribution) -> Vec<Point> {
        let rows = measurements.iter().filter(|row| {
            row.fault == NO_FAULT
                && row.distribution == distribution
                && self.includes(row.role, row.metric)
        });
        let mut sums: Vec<(&str, Point)> = Vec::new();
        for row in rows {
            let size = Size::of(row);
            match sums
                .iter_mut()
                .find(|(run, point)| *run == row.run && point.size == size)
            {
                Some((_, point)) => point.value += row.value,
                None => sums.push((
                    &row.run,
                    Point {
                        size,
                        value: row.value,
                    },
                )),
            }
        }
        sums.into_iter().map(|(_, point)| point).collect()
    }

    fn svg(&self, series: &[PointSeries], lines: &[Line]) -> Result<String, Box<dyn Error>> {
        let largest = |of: &dyn Fn(&Point) -> f64| {
            let values = series.iter().flat_map(|one| one.points.iter().map(of));
            (values.fold(0.0, f64::max) * HEADROOM).max(f64::MIN_POSITIVE)
        };
        let extent = Extent {
            right: largest(&|point| self.driver.driver(&point.size)),
            top: largest(&|point| point.value),
        };
        let mut text = String::new();
        {
            let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
            self.draw_series(&area, series, lines, extent)?;
            area.present()?;
        }
        Ok(text)
    }

    fn draw_series(
        &self,
        area: &DrawingArea<SVGBackend, Shift>,
        series: &[PointSeries],
        lines: &[Line],
        extent: Extent,
    ) -> Result<(), Box<dyn Error>> {
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, (FONT, TITLE_SIZE))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(90)
            .build_cartesian_2d(0.0..extent.right, 0.0..extent.top)?;
        let label = |value: &f64| crate::capacity::figures::figure(*value);
        chart
            .configure_mesh()
            .x_desc(self.driver.name())
            .y_desc(self.unit)
            .x_label_formatter(&label)
            .y_label_formatter(&label)
            .draw()?;
        for one in series {
            self.draw_points(&mut chart, one, lines)?;
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()?;
        Ok(())
    }

    /// Draws the points of one distribution and the line fitted to them.
    fn draw_points(
        &self,
        chart: &mut Plot<'_, '_>,
        series: &PointSeries,
        lines: &[Line],
    ) -> Result<(), Box<dyn Error>> {
        let PointSeries {
            distribution,
            points,
        } = series;
        let color = color(*distribution);
        let dot = |point: &Point| {
            Circle::new(
                (self.driver.driver(&point.size), point.value),
                POINT_RADIUS,
                color.filled(),
            )
        };
        let drawn = chart.draw_series(points.iter().map(dot))?;
        drawn
            .label(name(*distribution))
            .legend(move |at| Circle::new(at, POINT_RADIUS, color.filled()));
        if let Some(ends) = self.fitted_line(lines, *distribution, points) {
            chart.draw_series(LineSeries::new(ends, color))?;
        }
        Ok(())
    }

    /// Returns both ends of the fitted line over the chart's driver, with the other drivers at the largest measured
    /// size. `None` unless all lines of the chart are slopes.
    fn fitted_line(
        &self,
        lines: &[Line],
        distribution: Distribution,
        points: &[Point],
    ) -> Option<Vec<(f64, f64)>> {
        let is_plotted = |line: &&Line| {
            let series = &line.series;
            series.fault == NO_FAULT
                && series.distribution == distribution
                && self.includes(series.role, series.metric)
        };
        let fitted: Vec<&Line> = lines.iter().filter(is_plotted).collect();
        if fitted.is_empty() || fitted.iter().any(|line| line.evidence != Evidence::Slope) {
            return None;
        }
        let largest = points.iter().map(|point| point.size).max_by(Size::order)?;
        let drivers = points.iter().map(|point| self.driver.driver(&point.size));
        let ends = [0.0, drivers.fold(0.0, f64::max)];
        let at = |driver: f64| {
            let size = self.with_driver(driver, largest);
            (driver, fitted.iter().map(|line| line.predict(&size)).sum())
        };
        Some(ends.map(at).to_vec())
    }

    /// Returns a size with the chart's driver set to `driver`.
    fn with_driver(&self, driver: f64, size: Size) -> Size {
        match self.driver {
            Term::Constant => size,
            Term::Forwarders => Size {
                forwarders: driver,
                ..size
            },
            Term::Hosts => Size {
                hosts: driver,
                ..size
            },
            Term::Purges => Size {
                purges: driver,
                ..size
            },
            Term::ForwarderPurges => Size {
                purges: driver / size.forwarders.max(1.0),
                ..size
            },
        }
    }
}

fn color(distribution: Distribution) -> RGBColor {
    match distribution {
        Distribution::EachEvent => RGBColor(190, 60, 40),
        Distribution::Digest => RGBColor(30, 90, 170),
    }
}

fn name(distribution: Distribution) -> &'static str {
    match distribution {
        Distribution::EachEvent => "each event",
        Distribution::Digest => "digest",
    }
}
