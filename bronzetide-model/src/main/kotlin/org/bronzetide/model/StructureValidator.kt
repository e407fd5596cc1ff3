package org.bronzetide.model

import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Compares a JSON document with the serializable type that it should decode to.
 *
 * Unlike a decoder, which fails at the first error, it reports all of them.
 */
public object StructureValidator {
    /** Returns every mismatch of [element] with [descriptor], with paths relative to [path]. */
    public fun validate(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String = ""
    ): List<ValidationError> = when {
        element is JsonNull ->
            if (descriptor.isNullable) {
                emptyList()
            } else {
                listOf(ValidationError(path, "must not be null"))
            }

        descriptor.isInline -> validate(element, descriptor.getElementDescriptor(0), path)

        else -> validateKind(element, descriptor, path)
    }

    private fun validateKind(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String
    ): List<ValidationError> = when (val kind = descriptor.kind) {
        is PrimitiveKind -> listOfNotNull(primitiveError(element, kind, path))
        SerialKind.ENUM -> listOfNotNull(enumError(element, descriptor, path))
        StructureKind.LIST -> validateList(element, descriptor, path)
        StructureKind.MAP -> validateMap(element, descriptor, path)
        is PolymorphicKind -> emptyList()
        else -> validateObject(element, descriptor, path)
    }

    private fun validateObject(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String
    ): List<ValidationError> {
        if (element !is JsonObject) return listOf(ValidationError(path, "must be an object"))
        val names = descriptor.elementNames.toList()
        val unknown = element.keys.filter { it !in names }
            .map {
                ValidationError(
                    childPath(path, it),
                    "is not known; known are ${names.joinToString()}"
                )
            }
        val missing = names
            .filter { it !in element && !descriptor.isElementOptional(names.indexOf(it)) }
            .map { ValidationError(childPath(path, it), "is missing") }
        val nested = names.zip(descriptor.elementDescriptors.toList()).flatMap { (name, type) ->
            element[name]?.let { validate(it, type, childPath(path, name)) }.orEmpty()
        }
        return unknown + missing + nested
    }

    private fun validateList(element: JsonElement, descriptor: SerialDescriptor, path: String) =
        if (element !is JsonArray) {
            listOf(ValidationError(path, "must be a list"))
        } else {
            val type = descriptor.getElementDescriptor(0)
            element.flatMapIndexed { index, item -> validate(item, type, "$path[$index]") }
        }

    private fun validateMap(element: JsonElement, descriptor: SerialDescriptor, path: String) =
        if (element !is JsonObject) {
            listOf(ValidationError(path, "must be an object"))
        } else {
            val type = descriptor.getElementDescriptor(1)
            element.flatMap { (name, item) -> validate(item, type, childPath(path, name)) }
        }

    private fun enumError(
        element: JsonElement,
        descriptor: SerialDescriptor,
        path: String
    ): ValidationError? {
        val names = descriptor.elementNames.toList()
        val isKnown = element is JsonPrimitive && element.isString && element.content in names
        return if (isKnown) {
            null
        } else {
            ValidationError(path, "must be one of ${names.joinToString()}")
        }
    }

    private fun primitiveError(
        element: JsonElement,
        kind: PrimitiveKind,
        path: String
    ): ValidationError? {
        val text = (element as? JsonPrimitive)?.content
        val isString = (element as? JsonPrimitive)?.isString == true
        val expected = when (kind) {
            PrimitiveKind.STRING -> "a string".takeUnless { isString }
            PrimitiveKind.BOOLEAN -> "true or false".takeUnless { !isString && text in booleans }
            PrimitiveKind.INT -> "a whole number".takeUnless {
                !isString && text?.toIntOrNull() != null
            }
            PrimitiveKind.LONG -> "a whole number".takeUnless {
                !isString && text?.toLongOrNull() != null
            }
            else -> "a number".takeUnless { !isString && text?.toDoubleOrNull() != null }
        }
        return expected?.let { ValidationError(path, "must be $it") }
    }

    private fun childPath(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"

    private val booleans = setOf("true", "false")
}
