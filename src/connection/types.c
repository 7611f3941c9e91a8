#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "kumquat/types.h"

static const uint8_t mapped_prefix[12] = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

static int
parse_port (const char *text, uint16_t *port)
{
  char *end;
  long value = strtol (text, &end, 10);
  if (end == text || *end != '\0' || value < 0 || value > UINT16_MAX)
    return -1;
  *port = (uint16_t)value;
  return 0;
}

static int
parse_ip (const char *text, uint8_t ip[16])
{
  if (inet_pton (AF_INET6, text, ip) == 1)
    return 0;
  memcpy (ip, mapped_prefix, sizeof mapped_prefix);
  return inet_pton (AF_INET, text, ip + sizeof mapped_prefix) == 1 ? 0 : -1;
}

int
kq_address_parse (const char *text, KqAddress *address, KqError *error)
{
  char host[KQ_ADDRESS_TEXT_BYTES];
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    goto error;
  size_t length = (size_t)(colon - text);
  const char *start = text;
  if (length >= 2 && text[0] == '[' && text[length - 1] == ']')
    {
      start++;
      length -= 2;
    }
  memcpy (host, start, length);
  host[length] = '\0';
  memset (address, 0, sizeof *address);
  if (parse_ip (host, address->ip) < 0 || parse_port (colon + 1, &address->port) < 0)
    goto error;
  return 0;

error:
  return kq_error_set (error, KQ_ERROR_INVALID,
                       "'%s' is not an address; write it as 127.0.0.1:5683 or [::1]:5683", text);
}

const char *
kq_address_format (const KqAddress *address, char text[KQ_ADDRESS_TEXT_BYTES])
{
  char host[INET6_ADDRSTRLEN];
  if (memcmp (address->ip, mapped_prefix, sizeof mapped_prefix) == 0)
    {
      inet_ntop (AF_INET, address->ip + sizeof mapped_prefix, host, sizeof host);
      snprintf (text, KQ_ADDRESS_TEXT_BYTES, "%s:%u", host, address->port);
      return text;
    }
  inet_ntop (AF_INET6, address->ip, host, sizeof host);
  snprintf (text, KQ_ADDRESS_TEXT_BYTES, "[%s]:%u", host, address->port);
  return text;
}

bool
kq_address_equal (const KqAddress *a, const KqAddress *b)
{
  return a->port == b->port && memcmp (a->ip, b->ip, sizeof a->ip) == 0;
}

int
kq_address_compare (const KqAddress *a, const KqAddress *b)
{
  int order = memcmp (a->ip, b->ip, sizeof a->ip);
  return order != 0 ? order : (int)a->port - (int)b->port;
}

uint64_t
kq_flow_key_hash (const KqFlowKey *key)
{
  uint8_t bytes[22];
  bytes[0] = (uint8_t)(key->service >> 24);
  bytes[1] = (uint8_t)(key->service >> 16);
  bytes[2] = (uint8_t)(key->service >> 8);
  bytes[3] = (uint8_t)key->service;
  memcpy (bytes + 4, key->caller.ip, 16);
  bytes[20] = (uint8_t)(key->caller.port >> 8);
  bytes[21] = (uint8_t)key->caller.port;
  return XXH3_64bits (bytes, sizeof bytes);
}

bool
kq_flow_key_equal (const KqFlowKey *a, const KqFlowKey *b)
{
  return a->service == b->service && kq_address_equal (&a->caller, &b->caller);
}

uint64_t
kq_hash_name (const char *name)
{
  uint64_t hash = XXH3_64bits (name, strlen (name));
  return hash == 0 ? 1 : hash;
}

int
kq_revision_compare (KqRevision a, KqRevision b)
{
  if (a.epoch != b.epoch)
    return a.epoch < b.epoch ? -1 : 1;
  if (a.revision != b.revision)
    return a.revision < b.revision ? -1 : 1;
  return 0;
}
