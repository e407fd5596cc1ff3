package org.bronzetide.edge

import java.io.File
import java.io.IOException
import org.bronzetide.platform.fleet.HostSettings
import org.bronzetide.platform.fleet.SettingsException

/**
 * The settings file at [path]. Another program may be writing it while it is read. Thread-safe.
 */
internal class SettingsFile(path: String?) {
    /** What the file was found to contain. */
    sealed class Reading {
        /** Valid [settings]. The file [isWhole] if its last line is complete. */
        data class Valid(val settings: HostSettings, val isWhole: Boolean) : Reading()

        /** The file could not be read, or is invalid for all of [errors]. */
        data class Invalid(val errors: List<String>) : Reading()
    }

    private val file = path?.let(::File)
    private var last: Reading? = null
    private var modifiedAtMs = 0L
    private var lengthBytes = 0L

    /** Reads the file. */
    @Synchronized
    fun read(): Reading {
        // Before the text, so that the next look finds a change during the reading.
        modifiedAtMs = file?.lastModified() ?: 0
        lengthBytes = file?.length() ?: 0
        return parse().also { last = it }
    }

    /** Reads the file if it seems to have changed; returns `null` if its content has not. */
    @Synchronized
    fun readIfChanged(): Reading? {
        val before = last
        val isUnchanged = before is Reading.Valid &&
            file?.lastModified() == modifiedAtMs &&
            file.length() == lengthBytes
        return if (isUnchanged) null else read().takeIf { it != before }
    }

    /**
     * Reads the file until it is valid and seems complete, for at most [WRITE_TIMEOUT_MS]. Blocks
     * the thread.
     */
    @Synchronized
    fun awaitValid(): Reading {
        val untilNs = System.nanoTime() + WRITE_TIMEOUT_MS * NS_PER_MS
        while (true) {
            val before = last
            val reading = read()
            val isComplete = reading is Reading.Valid && (reading.isWhole || reading == before)
            if (isComplete || file == null || System.nanoTime() > untilNs) return reading
            Thread.sleep(READ_INTERVAL_MS)
        }
    }

    private fun parse(): Reading = try {
        if (file == null) {
            throw SettingsException(listOf("${HostSettings.FILE_VARIABLE} is not set"))
        }
        val text = file.readText()
        Reading.Valid(HostSettings.parse(text), isWhole = text.endsWith('\n'))
    } catch (cause: SettingsException) {
        Reading.Invalid(cause.errors)
    } catch (cause: IOException) {
        Reading.Invalid(listOf(cause.message ?: cause.toString()))
    }

    companion object {
        /** How long the writing of the file may take, in milliseconds. */
        const val WRITE_TIMEOUT_MS = 2_000L
        private const val READ_INTERVAL_MS = 100L
        private const val NS_PER_MS = 1_000_000L
    }
}
