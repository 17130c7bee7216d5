#pragma once

#include <msgpack.hpp>

#include <membership/Datagram.h>

namespace membership::details {

using Packer = msgpack::packer<msgpack::sbuffer>;

void pack(Packer &packer, const Record &record);
void pack(Packer &packer, const Datagram &datagram);

/** These throw msgpack::type_error when the object has another shape. */
Record unpackRecord(const msgpack::object &object);
Datagram unpackDatagram(const msgpack::object &object);

} // namespace membership::details
