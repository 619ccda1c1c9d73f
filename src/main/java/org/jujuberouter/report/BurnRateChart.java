package org.jujuberouter.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.image.BufferedImage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.plot.ValueMarker;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws the burn rates of the long windows over time, with the threshold of each rule. */
final class BurnRateChart {
    private static final int WIDTH = 960;
    private static final int HEIGHT = 360;

    /** The maximum number of points of a line; more points than pixels would not be visible. */
    private static final int MAX_POINTS = 1000;

    private static final double MIN_RATE = 0.1;

    /** The minimum upper end of the rate axis: above the highest threshold, so that all thresholds are visible. */
    private static final double MIN_UPPER_RATE = 20;

    private static final Font TITLE_FONT = new Font(Font.SANS_SERIF, Font.BOLD, 14);

    private static final List<Color> COLORS = List.of(new Color(0xC0392B), new Color(0xD68910), new Color(0x2471A3));

    private BurnRateChart() {}

    static byte[] png(BurnRateAnalysis analysis, long first) {
        // Without this, rendering into memory fails on a machine without a display.
        System.setProperty("java.awt.headless", "true");
        BufferedImage image = chart(analysis, first).createBufferedImage(WIDTH, HEIGHT);
        try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
            ChartUtils.writeBufferedImageAsPNG(out, image);
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding the chart as PNG failed", e);
        }
    }

    private static JFreeChart chart(BurnRateAnalysis analysis, long first) {
        long span =
                analysis.counts().isEmpty() ? 0 : analysis.counts().getLast().t() - first;
        Unit unit = Unit.of(span);
        XYSeriesCollection data = new XYSeriesCollection();
        double maxRate = MIN_RATE;
        for (BurnRateAnalysis.RuleResult result : analysis.ruleResults()) {
            XYSeries series = new XYSeries(String.format(
                    Locale.ROOT,
                    "%s (dashed: fires above %.1f)",
                    result.rule().name(),
                    result.rule().threshold()));
            int step = Math.max(1, result.rates().length / MAX_POINTS);
            for (int i = 0; i < result.rates().length; i += step) {
                double rate = maxRateIn(result.rates(), i, step);
                if (!Double.isNaN(rate)) {
                    series.add((analysis.counts().get(i).t() - first) / unit.millis, Math.max(MIN_RATE, rate));
                    maxRate = Math.max(maxRate, rate);
                }
            }
            data.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                "Burn rate of the long windows, all requests, " + analysis.objective(),
                "time after the start (" + unit.name + ")",
                "burn rate",
                data);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getTitle().setFont(TITLE_FONT);
        configurePlot(chart.getXYPlot(), analysis, maxRate);
        return chart;
    }

    private static double maxRateIn(double[] rates, int from, int step) {
        double maxRate = Double.NaN;
        for (int i = from; i < Math.min(rates.length, from + step); i++) {
            maxRate = Double.isNaN(maxRate) ? rates[i] : Math.max(maxRate, Double.isNaN(rates[i]) ? maxRate : rates[i]);
        }
        return maxRate;
    }

    private static void configurePlot(XYPlot plot, BurnRateAnalysis analysis, double maxRate) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setUpperMargin(0);
        XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < analysis.ruleResults().size(); i++) {
            Color color = COLORS.get(i);
            lines.setSeriesPaint(i, color);
            lines.setSeriesStroke(i, new BasicStroke(2f));
            BasicStroke dashes =
                    new BasicStroke(1.2f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 5, new float[] {6, 4}, 0);
            plot.addRangeMarker(
                    new ValueMarker(analysis.ruleResults().get(i).rule().threshold(), color, dashes));
        }
        plot.setRenderer(lines);
        // Rates span three decades; on a linear axis, the high rates of a tight objective would hide the thresholds.
        LogAxis rates = new LogAxis("burn rate (" + MIN_RATE + " or less at the bottom)");
        rates.setSmallestValue(MIN_RATE);
        rates.setTickUnit(new NumberTickUnit(1));
        rates.setRange(MIN_RATE, Math.max(MIN_UPPER_RATE, maxRate * 1.5));
        rates.setNumberFormatOverride(new DecimalFormat("0.##", DecimalFormatSymbols.getInstance(Locale.ROOT)));
        plot.setRangeAxis(rates);
    }

    /** The unit of the time axis. */
    private enum Unit {
        SECONDS("s", 1e3),
        MINUTES("min", 6e4),
        HOURS("h", 3.6e6);

        private final String name;
        private final double millis;

        Unit(String name, double millis) {
            this.name = name;
            this.millis = millis;
        }

        private static Unit of(long span) {
            return span < 300_000 ? SECONDS : span < 4 * 3_600_000 ? MINUTES : HOURS;
        }
    }
}
