/* Value types shared by all parts: addresses, identities, flow keys and time. */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "kumquat/error.h"

/* Monotonic time in microseconds; functions that depend on it take it as a parameter. */
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
 * kq_address_parse - parses "a.b.c.d:port" or "[v6]:port"
 * @text: (borrowed): the text
 * @address: (out): the address
 * @error: (nullable): set on failure
 *
 * Return: 0, or -1 with @error set.
 */
int kq_address_parse (const char *text, KqAddress *address, KqError *error);

/**
 * kq_address_format - formats an address as text
 * @address: (borrowed): the address
 * @text: (out): buffer
 *
 * Return: @text.
 */
const char *kq_address_format (const KqAddress *address, char text[KQ_ADDRESS_TEXT_BYTES]);

bool kq_address_equal (const KqAddress *a, const KqAddress *b);

/**
 * kq_address_compare - Return: below, equal to or above 0, as @a sorts before, equal to or after @b
 */
int kq_address_compare (const KqAddress *a, const KqAddress *b);

/**
 * struct KqFlowKey - identifies a flow: the datagrams between one caller's address and one service
 * @service: the service's number, unique in the configuration
 * @caller: the caller's address
 */
typedef struct
{
  uint32_t service;
  KqAddress caller;
} KqFlowKey;

/**
 * kq_flow_key_hash - hashes a flow key; the result is the same on every instance
 * @key: (borrowed): the key
 *
 * Return: a 64-bit hash.
 */
uint64_t kq_flow_key_hash (const KqFlowKey *key);
bool kq_flow_key_equal (const KqFlowKey *a, const KqFlowKey *b);

/**
 * kq_hash_name - derives an identity from a name
 * @name: (borrowed): the name
 *
 * Return: a 64-bit hash that is never 0.
 */
uint64_t kq_hash_name (const char *name);

/**
 * struct KqPeer - one incarnation of an agent, as addressed by senders of datagrams
 * @id: hash of the target's name; 0 means none
 * @incarnation: increases with every start of the agent; a datagram for another one is refused
 * @data: address on which the agent receives data datagrams
 */
typedef struct
{
  uint64_t id;
  uint64_t incarnation;
  KqAddress data;
} KqPeer;

/**
 * struct KqRevision - version of a service's configuration; never decreases
 * @epoch: incremented when the store was restored to an older state
 * @revision: the store's revision within the epoch
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
