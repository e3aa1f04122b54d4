package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.common.id.RegionId
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes a [Member] as one short string, because the roster of a large fleet has hundreds of members. */
internal object CompactMemberSerializer : KSerializer<Member> {
    private const val SEPARATOR = '|'
    private const val FIELD_COUNT = 6

    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("CompactMember", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: Member,
    ) {
        val fields =
            listOf(value.host, value.incarnation, value.region, value.availabilityZone, value.callerAddress, value.peerAddress)
        encoder.encodeString(fields.joinToString(SEPARATOR.toString()))
    }

    override fun deserialize(decoder: Decoder): Member {
        val text = decoder.decodeString()
        val fields = text.split(SEPARATOR)
        if (fields.size != FIELD_COUNT) throw SerializationException("expected a member of 6 fields separated by '|', got: $text")
        val field = fields.iterator()
        return Member(
            host = HostId(field.next()),
            incarnation = Incarnation(field.next().toLong()),
            region = RegionId(field.next()),
            availabilityZone = AvailabilityZoneId(field.next()),
            callerAddress = parseAddress(field.next()),
            peerAddress = parseAddress(field.next()),
        )
    }

    private fun parseAddress(text: String) = HostAddress(text.substringBeforeLast(':'), text.substringAfterLast(':').toInt())
}
