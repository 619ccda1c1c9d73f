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

/** Draws the burn rates of the long windows over time, with the rate above which each rule fires. */
final class BurnChart {
    private static final int WIDTH = 960;
    private static final int HEIGHT = 360;

    /** More points than pixels cost time and show nothing. */
    private static final int MAX_POINTS = 1000;

    private static final double LOWEST_RATE = 0.1;

    /** Just above the highest rate of a rule, so that all limits are in the picture. */
    private static final double LEAST_TOP_RATE = 20;

    private static final Font TITLE = new Font(Font.SANS_SERIF, Font.BOLD, 14);

    private static final List<Color> COLORS = List.of(new Color(0xC0392B), new Color(0xD68910), new Color(0x2471A3));

    private BurnChart() {}

    static byte[] png(Burn burn, long first) {
        // Rendering goes to memory; without this a machine without a display fails.
        System.setProperty("java.awt.headless", "true");
        BufferedImage image = chart(burn, first).createBufferedImage(WIDTH, HEIGHT);
        try (ByteArrayOutputStream out = new ByteArrayOutputStream()) {
            ChartUtils.writeBufferedImageAsPNG(out, image);
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("writing a picture into memory failed", e);
        }
    }

    private static JFreeChart chart(Burn burn, long first) {
        long span = burn.tallies().isEmpty() ? 0 : burn.tallies().getLast().t() - first;
        Unit unit = Unit.of(span);
        XYSeriesCollection data = new XYSeriesCollection();
        double highest = LOWEST_RATE;
        for (Burn.Finding finding : burn.findings()) {
            XYSeries series = new XYSeries(String.format(
                    Locale.ROOT,
                    "%s (dashed: fires above %.1f)",
                    finding.rule().name(),
                    finding.rule().rate()));
            int step = Math.max(1, finding.rates().length / MAX_POINTS);
            for (int i = 0; i < finding.rates().length; i += step) {
                double rate = highestOf(finding.rates(), i, step);
                if (!Double.isNaN(rate)) {
                    series.add((burn.tallies().get(i).t() - first) / unit.millis, Math.max(LOWEST_RATE, rate));
                    highest = Math.max(highest, rate);
                }
            }
            data.addSeries(series);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(
                "Burn rate of the long windows, all requests, " + burn.objective(),
                "time after the start (" + unit.name + ")",
                "burn rate",
                data);
        chart.setBackgroundPaint(Color.WHITE);
        chart.getTitle().setFont(TITLE);
        style(chart.getXYPlot(), burn, highest);
        return chart;
    }

    private static double highestOf(double[] rates, int from, int step) {
        double highest = Double.NaN;
        for (int i = from; i < Math.min(rates.length, from + step); i++) {
            highest = Double.isNaN(highest) ? rates[i] : Math.max(highest, Double.isNaN(rates[i]) ? highest : rates[i]);
        }
        return highest;
    }

    private static void style(XYPlot plot, Burn burn, double highest) {
        plot.setBackgroundPaint(Color.WHITE);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setUpperMargin(0);
        XYLineAndShapeRenderer lines = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < burn.findings().size(); i++) {
            Color color = COLORS.get(i);
            lines.setSeriesPaint(i, color);
            lines.setSeriesStroke(i, new BasicStroke(2f));
            BasicStroke dashes =
                    new BasicStroke(1.2f, BasicStroke.CAP_BUTT, BasicStroke.JOIN_MITER, 5, new float[] {6, 4}, 0);
            plot.addRangeMarker(new ValueMarker(burn.findings().get(i).rule().rate(), color, dashes));
        }
        plot.setRenderer(lines);
        // Rates span three decades; on a linear axis a tight objective hides the limits at the bottom.
        LogAxis rates = new LogAxis("burn rate (" + LOWEST_RATE + " or less at the bottom)");
        rates.setSmallestValue(LOWEST_RATE);
        rates.setTickUnit(new NumberTickUnit(1));
        rates.setRange(LOWEST_RATE, Math.max(LEAST_TOP_RATE, highest * 1.5));
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
