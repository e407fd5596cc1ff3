package org.bronzetide.http

import net.jqwik.api.Example
import org.assertj.core.api.Assertions.assertThat

class CarriedRequestsTest {
    private val requests = CarriedRequests()

    @Example
    fun remembersEveryRequestUntilItIsFull() {
        var count = 0
        while (!requests.isFull) requests.add("id-${count++}")
        assertThat((0 until count).all { "id-$it" in requests }).isTrue()
        assertThat("other" in requests).isFalse()
    }
}
