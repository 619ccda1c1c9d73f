package org.jujuberouter.capacity;

import java.util.List;

/** Linear least squares by the normal equations, whose conditioning is sufficient for the few terms used here. */
public final class LeastSquares {
    private static final double SINGULARITY_THRESHOLD = 1e-9;

    private LeastSquares() {}

    /**
     * Returns the coefficients with the least sum of squared residuals.
     *
     * @param rows the values of the terms in each observation; all rows have the same length
     * @param values the observed values, one for each row
     */
    public static double[] fit(List<double[]> rows, double[] values) {
        int terms = rows.getFirst().length;
        double[][] matrix = new double[terms][terms + 1];
        for (int r = 0; r < values.length; r++) {
            double[] row = rows.get(r);
            for (int i = 0; i < terms; i++) {
                for (int j = 0; j < terms; j++) {
                    matrix[i][j] += row[i] * row[j];
                }
                matrix[i][terms] += row[i] * values[r];
            }
        }
        return solve(matrix);
    }

    /** Returns the coefficient of determination, or 1 if all values are equal. */
    public static double rSquared(List<double[]> rows, double[] values, double[] coefficients) {
        double mean = java.util.Arrays.stream(values).average().orElse(0);
        double residual = 0;
        double total = 0;
        for (int r = 0; r < values.length; r++) {
            double fitted = 0;
            for (int i = 0; i < coefficients.length; i++) {
                fitted += coefficients[i] * rows.get(r)[i];
            }
            residual += (values[r] - fitted) * (values[r] - fitted);
            total += (values[r] - mean) * (values[r] - mean);
        }
        return total == 0 ? 1 : 1 - residual / total;
    }

    /** Gaussian elimination with partial pivoting; a linearly dependent term gets the coefficient 0. */
    private static double[] solve(double[][] matrix) {
        int terms = matrix.length;
        for (int i = 0; i < terms; i++) {
            int pivot = i;
            for (int r = i + 1; r < terms; r++) {
                if (Math.abs(matrix[r][i]) > Math.abs(matrix[pivot][i])) {
                    pivot = r;
                }
            }
            double[] row = matrix[pivot];
            matrix[pivot] = matrix[i];
            matrix[i] = row;
            if (Math.abs(row[i]) < SINGULARITY_THRESHOLD) {
                continue;
            }
            for (int r = 0; r < terms; r++) {
                double factor = r == i ? 0 : matrix[r][i] / row[i];
                for (int c = i; c <= terms; c++) {
                    matrix[r][c] -= factor * row[c];
                }
            }
        }
        double[] result = new double[terms];
        for (int i = 0; i < terms; i++) {
            result[i] = Math.abs(matrix[i][i]) < SINGULARITY_THRESHOLD ? 0 : matrix[i][terms] / matrix[i][i];
        }
        return result;
    }
}
