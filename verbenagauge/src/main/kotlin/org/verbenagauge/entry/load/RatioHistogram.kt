package org.verbenagauge.entry.load

import kotlin.math.floor
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt
import kotlin.math.sqrt

/**
 * Distribution of the ratio of actual to expected duration, as a histogram with buckets of a quarter octave in which
 * the weight of older runs decays. Starts from a prior distribution.
 */
internal class RatioHistogram {
    private val shares = DoubleArray(BUCKETS) { priorShares[it] }
    private var runs = 0

    /** Adds a run that took [ratio] times as long as expected. */
    fun add(ratio: Double) {
        runs++
        val rate = maxOf(MIN_LEARNING_RATE, 1.0 / (runs + PRIOR_RUNS))
        for (bucket in shares.indices) shares[bucket] *= 1 - rate
        shares[bucketOf(ratio)] += rate
    }

    /**
     * Returns the share of runs around [ratio], a quarter octave wide. It is never 0, since unseen ratios are possible.
     */
    fun likelihood(ratio: Double): Double {
        val middle = bucketOf(ratio)
        val sum = smoothed(shares, middle)
        // The longest runs complete last, so the histogram of a new queue lacks them at first.
        return maxOf(sum, priorLikelihoods[middle] * PRIOR_WEIGHT, MIN_LIKELIHOOD)
    }

    /** Returns the mean remainder beyond [ratio] of the runs that take longer than [ratio]. */
    fun meanBeyond(ratio: Double): Double {
        var weight = 0.0
        var sum = 0.0
        for (bucket in shares.indices) {
            val middle = middleOf(bucket)
            if (middle <= ratio) continue
            weight += shares[bucket]
            sum += shares[bucket] * (middle - ratio)
        }
        // Beyond all known runs, assumes as long again, as in a tail where each doubling is a quarter as frequent.
        return if (weight < MIN_LIKELIHOOD) ratio else sum / weight
    }

    /** Returns the ratio that [share] of the runs do not exceed. */
    fun quantile(share: Double): Double {
        var sum = 0.0
        for (bucket in shares.indices) {
            sum += shares[bucket]
            if (sum >= share) return middleOf(bucket)
        }
        return middleOf(BUCKETS - 1)
    }

    /** Encodes the histogram with one character per bucket. */
    fun encode(): String =
        String(CharArray(BUCKETS) { ENCODING_DIGITS[(sqrt(shares[it]) * (ENCODING_DIGITS.length - 1)).roundToInt()] })

    /** Replaces the histogram by one that [encode] wrote. Ignores malformed text. */
    fun decode(text: String) {
        if (text.length != BUCKETS || text.any { it !in ENCODING_DIGITS }) return
        val read = text.map { (ENCODING_DIGITS.indexOf(it) / (ENCODING_DIGITS.length - 1.0)).pow(2) }
        val sum = read.sum()
        if (sum <= 0.0) return
        for (bucket in shares.indices) shares[bucket] = read[bucket] / sum
        runs = maxOf(runs, RESTORED_RUNS)
    }

    private companion object {
        const val BUCKETS = 32
        const val PER_OCTAVE = 4
        const val LOWEST_OCTAVE = -3

        // Averages over a few hundred runs, as many as a queue has in half a minute.
        const val MIN_LEARNING_RATE = 0.005
        const val PRIOR_RUNS = 10
        const val RESTORED_RUNS = 100

        // One run in a thousand, spread over half of the range.
        const val MIN_LIKELIHOOD = 1e-4
        const val ENCODING_DIGITS = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
        val kernel = doubleArrayOf(0.1, 0.2, 0.4, 0.2, 0.1)

        // Prior: durations of a queue differ by half of their mean, and three tasks in a hundred take seven times as
        // long.
        const val PRIOR_LOG_DEVIATION = 0.5
        const val TAIL_SHARE = 0.03
        const val TAIL_FACTOR = 7.0
        val priorShares = priorDistribution()
        val priorLikelihoods = DoubleArray(BUCKETS) { smoothed(priorShares, it) }
        const val PRIOR_WEIGHT = 0.5

        fun smoothed(
            shares: DoubleArray,
            middle: Int,
        ): Double {
            var sum = 0.0
            for (offset in kernel.indices) {
                val bucket = (middle + offset - kernel.size / 2).coerceIn(0, BUCKETS - 1)
                sum += kernel[offset] * shares[bucket]
            }
            return sum
        }

        fun bucketOf(ratio: Double): Int {
            val octaves = ln(maxOf(ratio, 1e-9)) / ln(2.0) - LOWEST_OCTAVE
            return floor(octaves * PER_OCTAVE).toInt().coerceIn(0, BUCKETS - 1)
        }

        fun middleOf(bucket: Int): Double = 2.0.pow((bucket + 0.5) / PER_OCTAVE + LOWEST_OCTAVE)

        fun priorDistribution(): DoubleArray {
            val weights =
                DoubleArray(BUCKETS) {
                    (1 - TAIL_SHARE) * gaussian(ln(middleOf(it))) +
                        TAIL_SHARE * gaussian(ln(middleOf(it) / TAIL_FACTOR))
                }
            val sum = weights.sum()
            return DoubleArray(BUCKETS) { weights[it] / sum }
        }

        fun gaussian(deviation: Double): Double = kotlin.math.exp(-(deviation / PRIOR_LOG_DEVIATION).pow(2) / 2)
    }
}
