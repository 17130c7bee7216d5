#pragma once

#include <msgpack.hpp>

#include <membership/Datagram.h>

namespace membership::details {

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer &packer, const Record &record);
void pack(Packer &packer, const Datagram &datagram);

/** Both throw msgpack::type_error if the object does not have the expected structure. */
Record unpackRecord(const msgpack::object &object);
Datagram unpackDatagram(const msgpack::object &object);

} // namespace membership::details
