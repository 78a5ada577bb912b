package org.verbenagauge.entry.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

private const val TEAM_PREFIX = "t:"
private const val SLOT_PREFIX = "s:"
private const val POOL_PREFIX = "p:"

/** Writes a resource as one short string, such as `t:acme` or `s:i-17`. */
internal object ResourceSerializer : KSerializer<Resource> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("Resource", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Resource,
    ) = encoder.encodeString(
        when (value) {
            is Resource.Team -> TEAM_PREFIX + value.teamId
            is Resource.Slot -> SLOT_PREFIX + value.instanceId
        },
    )

    override fun deserialize(decoder: Decoder): Resource {
        val text = decoder.decodeString()
        return when {
            text.startsWith(TEAM_PREFIX) -> Resource.Team(text.removePrefix(TEAM_PREFIX))
            text.startsWith(SLOT_PREFIX) -> Resource.Slot(text.removePrefix(SLOT_PREFIX))
            else -> throw SerializationException("resource '$text' must start with '$TEAM_PREFIX' or '$SLOT_PREFIX'")
        }
    }
}

/** Writes a group as one short string, such as `t:acme` or `p:bids`. */
internal object RightsGroupSerializer : KSerializer<RightsGroup> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("RightsGroup", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: RightsGroup,
    ) = encoder.encodeString(
        when (value) {
            is RightsGroup.Team -> TEAM_PREFIX + value.teamId
            is RightsGroup.Pool -> POOL_PREFIX + value.poolId
        },
    )

    override fun deserialize(decoder: Decoder): RightsGroup {
        val text = decoder.decodeString()
        return when {
            text.startsWith(TEAM_PREFIX) -> RightsGroup.Team(text.removePrefix(TEAM_PREFIX))
            text.startsWith(POOL_PREFIX) -> RightsGroup.Pool(text.removePrefix(POOL_PREFIX))
            else -> throw SerializationException("group '$text' must start with '$TEAM_PREFIX' or '$POOL_PREFIX'")
        }
    }
}
