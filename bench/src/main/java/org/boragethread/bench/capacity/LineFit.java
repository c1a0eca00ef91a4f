package org.boragethread.bench.capacity;

import java.util.SortedMap;
import java.util.TreeMap;

/** Least-squares fit of a line to measured points. */
final class LineFit {

    private final SortedMap<Double, Double> mPoints = new TreeMap<>();

    void add(double size, double value) {
        mPoints.put(size, value);
    }

    /** Returns the increase in value per unit of size. */
    double slope() {
        double x = meanSize();
        double y = meanValue();
        double covariance = 0;
        double variance = 0;
        for (var point : mPoints.entrySet()) {
            covariance += (point.getKey() - x) * (point.getValue() - y);
            variance += (point.getKey() - x) * (point.getKey() - x);
        }
        return covariance / variance;
    }

    /** Returns the value at size 0. */
    double intercept() {
        return meanValue() - slope() * meanSize();
    }

    /** Returns the coefficient of determination, R². */
    double rSquared() {
        double y = meanValue();
        double total = 0;
        double residual = 0;
        for (var point : mPoints.entrySet()) {
            double expected = intercept() + slope() * point.getKey();
            total += (point.getValue() - y) * (point.getValue() - y);
            residual += (point.getValue() - expected) * (point.getValue() - expected);
        }
        return total == 0 ? 1 : 1 - residual / total;
    }

    /** Prints the points and the fitted line as a table row. */
    void print(String name, String sizeUnit, String valueUnit) {
        StringBuilder row = new StringBuilder();
        mPoints.forEach((size, value) -> row.append("%.0f: %.2f, ".formatted(size, value)));
        System.out.printf(
                "| %s | %s %s by %s | %.4g + %.4g n | %.3f |%n",
                name, row, valueUnit, sizeUnit, intercept(), slope(), rSquared());
    }

    private double meanSize() {
        return mPoints.keySet().stream().mapToDouble(d -> d).average().orElseThrow();
    }

    private double meanValue() {
        return mPoints.values().stream().mapToDouble(d -> d).average().orElseThrow();
    }
}
