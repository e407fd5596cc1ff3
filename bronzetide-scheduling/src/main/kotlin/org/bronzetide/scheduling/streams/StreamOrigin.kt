package org.bronzetide.scheduling.streams

import org.bronzetide.scheduling.fleet.SoftwareVersion

/** Where a stream has begun: its [service], and the version of the target that began it. */
public data class StreamOrigin(val service: String, val version: SoftwareVersion)
