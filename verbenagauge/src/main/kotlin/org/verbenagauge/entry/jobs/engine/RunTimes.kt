package org.verbenagauge.entry.jobs.engine

/** Expected run times of tasks; defined with the other load decisions in `org.verbenagauge.entry.load`. */
internal typealias RunTimes = org.verbenagauge.entry.load.RunTimes
