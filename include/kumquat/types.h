/* Value types that every part shares: addresses, identities, flow keys and time. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kumquat/error.h"

/* Monotonic time in microseconds, passed in by the caller of a decision. */
typedef int64_t KqTime;

#define KQ_MS     ((KqTime)1000)
#define KQ_SECOND ((KqTime)1000000)
#define KQ_NEVER  INT64_MAX

#define KQ_NAME_BYTES         32 /* names of services, targets and failure domains, with the NUL */
#define KQ_ADDRESS_TEXT_BYTES 64 /* "[ip]:port" with the NUL */
#define KQ_DATAGRAM_BYTES     2048 /* largest datagram on any port */

/**
 * struct KqAddress - an IP address and a port
 * @ip: IPv6 address in network byte order; IPv4 is mapped (::ffff:a.b.c.d)
 * @port: port in host byte order
 */
typedef struct
{
  uint8_t ip[16];
  uint16_t port;
} KqAddress;

/**
 * kq_address_parse - reads "a.b.c.d:port" or "[v6]:port"
 * @text: (borrowed): the text
 * @address: (out): the address
 * @error: (nullable): set on failure
 *
 * Return: 0, or -1 with @error set.
 */
int kq_address_parse (const char *text, KqAddress *address, KqError *error);

/**
 * kq_address_format - writes an address as text
 * @address: (borrowed): the address
 * @text: (out): room for the text
 *
 * Return: @text.
 */
const char *kq_address_format (const KqAddress *address, char text[KQ_ADDRESS_TEXT_BYTES]);

bool kq_address_equal (const KqAddress *a, const KqAddress *b);

/** kq_address_compare - Return: below, at or above 0, as @a comes before @b, is @b or comes after
 */
int kq_address_compare (const KqAddress *a, const KqAddress *b);

/**
 * struct KqFlowKey - identifies a flow: one caller's address towards one service
 * @service: the service's number, unique in the configuration
 * @caller: the caller's address
 */
typedef struct
{
  uint32_t service;
  KqAddress caller;
} KqFlowKey;

/**
 * kq_flow_key_hash - hashes a flow key; equal on every instance
 * @key: (borrowed): the key
 *
 * Return: a 64-bit hash.
 */
uint64_t kq_flow_key_hash (const KqFlowKey *key);
bool kq_flow_key_equal (const KqFlowKey *a, const KqFlowKey *b);

/**
 * kq_hash_name - hashes a name to an identity
 * @name: (borrowed): the name
 *
 * Return: a 64-bit hash that is never 0.
 */
uint64_t kq_hash_name (const char *name);

/**
 * struct KqPeer - one life of an agent, as a sender of datagrams knows it
 * @id: hash of the target's name; 0 means none
 * @incarnation: grows with every life; a datagram for another life is refused
 * @data: where the agent receives data datagrams
 */
typedef struct
{
  uint64_t id;
  uint64_t incarnation;
  KqAddress data;
} KqPeer;

/**
 * struct KqRevision - version of a service's configuration; never goes back
 * @epoch: grows when the store was restored to an older state
 * @revision: the store's revision inside the epoch
 */
typedef struct
{
  uint32_t epoch;
  uint64_t revision;
} KqRevision;

/**
 * kq_revision_compare - orders revisions
 *
 * Return: less than, equal to or greater than 0, as @a is older than, equal to or newer than @b.
 */
int kq_revision_compare (KqRevision a, KqRevision b);
