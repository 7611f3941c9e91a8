/* Hash table with open addressing and linear probing over slots of 32 bytes. The table grows by
 * half when it is three quarters full, and moves a few slots with each new flow, so that no
 * single store copies the whole table. During growth, a flow is in exactly one of the two slot
 * arrays. Removal shifts later entries back; in the old array it marks the slot as vacated
 * instead. */

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "kumquat/internal/caller_count.h"
#include "kumquat/internal/flow_shard.h"
#include "kumquat/internal/peer_table.h"

#define CACHE_LINE     64
#define SLOTS_INITIAL  64
#define MOVED_PER_OP   8   /* slots moved to the larger array with each new flow */
#define MOVED_PER_SCAN 256 /* slots moved to the larger array with each expiry scan */

typedef enum
{
  SLOT_EMPTY,
  SLOT_USED,
  SLOT_VACATED
} SlotState;

typedef struct
{
  uint8_t ip[16];
  uint32_t service;
  uint32_t used_ms;
  uint32_t owner;
  uint16_t port;
  uint8_t state;
} Slot;

_Static_assert(sizeof (Slot) == 32, "two slots must fill a cache line");

typedef struct
{
  void *memory;
  Slot *slots;
  unsigned size;
} SlotArray;

struct KqFlowShard
{
  SlotArray current;
  SlotArray old;
  unsigned moved;
  unsigned clock_hand;
  unsigned count;
  unsigned capacity;
  unsigned caller_max;
  KqPeerTable *peers;
  KqCallerCount *callers;
};

static uint32_t
to_ms (KqTime now)
{
  return (uint32_t)(now / KQ_MS);
}

static unsigned
preferred_index (const SlotArray *array, uint64_t hash)
{
  return (unsigned)(((uint64_t)(uint32_t)(hash >> 16) * array->size) >> 32);
}

static unsigned
next_index (const SlotArray *array, unsigned i)
{
  return i + 1 == array->size ? 0 : i + 1;
}

static KqFlowKey
key_of (const Slot *slot)
{
  KqFlowKey key = { .service = slot->service, .caller.port = slot->port };
  memcpy (key.caller.ip, slot->ip, sizeof slot->ip);
  return key;
}

static uint64_t
hash_of (const Slot *slot)
{
  KqFlowKey key = key_of (slot);
  return kq_flow_key_hash (&key);
}

static bool
slot_matches (const Slot *slot, const KqFlowKey *key)
{
  return slot->state == SLOT_USED && slot->port == key->caller.port &&
         slot->service == key->service && memcmp (slot->ip, key->caller.ip, sizeof slot->ip) == 0;
}

static Slot *
find_in (const SlotArray *array, const KqFlowKey *key, uint64_t hash)
{
  if (array->size == 0)
    return NULL;
  for (unsigned i = preferred_index (array, hash);; i = next_index (array, i))
    {
      Slot *slot = &array->slots[i];
      if (slot->state == SLOT_EMPTY)
        return NULL;
      if (slot_matches (slot, key))
        return slot;
    }
}

static Slot *
find (const KqFlowShard *shard, const KqFlowKey *key, uint64_t hash)
{
  Slot *slot = find_in (&shard->current, key, hash);
  return slot != NULL ? slot : find_in (&shard->old, key, hash);
}

static Slot *
empty_slot (SlotArray *array, uint64_t hash)
{
  unsigned i = preferred_index (array, hash);
  while (array->slots[i].state != SLOT_EMPTY)
    i = next_index (array, i);
  return &array->slots[i];
}

/* Uses calloc, which gets large arrays from the system as pages that are zeroed on first use;
 * clearing a megabyte at once would hold the shard's lock for a millisecond. */
static int
array_alloc (SlotArray *array, unsigned size)
{
  array->memory = calloc (1, size * sizeof (Slot) + CACHE_LINE);
  if (array->memory == NULL)
    return -1;
  uintptr_t start = (uintptr_t)array->memory;
  array->slots = (Slot *)((start + CACHE_LINE - 1) / CACHE_LINE * CACHE_LINE);
  array->size = size;
  return 0;
}

static void
array_free (SlotArray *array)
{
  free (array->memory);
  *array = (SlotArray){ 0 };
}

static int
destroy (KqFlowShard *shard)
{
  array_free (&shard->current);
  array_free (&shard->old);
  return 0;
}

KqFlowShard *
kq_flow_shard_new (const void *parent, unsigned capacity, unsigned caller_max)
{
  KqFlowShard *shard = talloc_zero (parent, KqFlowShard);
  if (shard == NULL)
    return NULL;
  shard->capacity = capacity;
  shard->caller_max = caller_max;
  talloc_set_destructor (shard, destroy);
  bool slots = array_alloc (&shard->current, SLOTS_INITIAL) == 0;
  shard->peers = kq_peer_table_new (shard);
  shard->callers = caller_max == 0 ? NULL : kq_caller_count_new (shard);
  if (!slots || shard->peers == NULL || (caller_max != 0 && shard->callers == NULL))
    TALLOC_FREE (shard);
  return shard;
}

static void
move_slots (KqFlowShard *shard, unsigned slots)
{
  for (; shard->old.slots != NULL && slots > 0; slots--)
    {
      Slot *slot = &shard->old.slots[shard->moved++];
      if (slot->state == SLOT_USED)
        {
          *empty_slot (&shard->current, hash_of (slot)) = *slot;
          slot->state = SLOT_VACATED;
        }
      if (shard->moved == shard->old.size)
        array_free (&shard->old);
    }
}

static int
grow (KqFlowShard *shard)
{
  if (shard->old.slots != NULL)
    move_slots (shard, shard->old.size);
  SlotArray larger;
  if (array_alloc (&larger, shard->current.size + shard->current.size / 2) < 0)
    return -1;
  shard->old = shard->current;
  shard->current = larger;
  shard->moved = 0;
  shard->clock_hand = 0;
  return 0;
}

bool
kq_flow_shard_lookup (const KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, KqPeer *owner)
{
  const Slot *slot = find (shard, key, hash);
  if (slot != NULL && owner != NULL)
    *owner = *kq_peer_table_get (shard->peers, slot->owner);
  return slot != NULL;
}

bool
kq_flow_shard_touch (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, KqTime now,
                     KqPeer *owner)
{
  Slot *slot = find (shard, key, hash);
  if (slot == NULL)
    return false;
  uint32_t ms = to_ms (now);
  if (slot->used_ms != ms) /* avoids dirtying the cache line */
    slot->used_ms = ms;
  if (owner != NULL)
    *owner = *kq_peer_table_get (shard->peers, slot->owner);
  return true;
}

static bool
has_room (const KqFlowShard *shard, const KqFlowKey *key)
{
  if (shard->count >= shard->capacity)
    return false;
  if (shard->callers == NULL || shard->count < shard->capacity / 2)
    return true;
  return kq_caller_count_get (shard->callers, &key->caller) < shard->caller_max;
}

static void
replace_owner (KqFlowShard *shard, Slot *slot, unsigned owner, KqTime now)
{
  kq_peer_table_release (shard->peers, slot->owner);
  slot->owner = owner;
  slot->used_ms = to_ms (now);
}

int
kq_flow_shard_store (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, const KqPeer *owner,
                     KqTime now)
{
  Slot *slot = find (shard, key, hash);
  if (slot == NULL && !has_room (shard, key))
    return -1;
  int number = kq_peer_table_acquire (shard->peers, owner);
  if (number < 0)
    return -1;
  if (slot != NULL)
    {
      replace_owner (shard, slot, (unsigned)number, now);
      return 0;
    }
  move_slots (shard, MOVED_PER_OP);
  if ((shard->count + 1) * 4ULL > shard->current.size * 3ULL && grow (shard) < 0)
    {
      kq_peer_table_release (shard->peers, (unsigned)number);
      return -1;
    }
  slot = empty_slot (&shard->current, hash);
  memcpy (slot->ip, key->caller.ip, sizeof slot->ip);
  slot->port = key->caller.port;
  slot->service = key->service;
  slot->owner = (unsigned)number;
  slot->used_ms = to_ms (now);
  slot->state = SLOT_USED;
  shard->count++;
  if (shard->callers != NULL)
    kq_caller_count_add (shard->callers, &key->caller, 1);
  return 0;
}

/* Fills the empty slot @gap with later entries whose probe sequence passes it. */
static void
shift_back (SlotArray *array, unsigned gap)
{
  for (unsigned i = next_index (array, gap);; i = next_index (array, i))
    {
      if (array->slots[i].state == SLOT_EMPTY)
        break;
      unsigned preferred = preferred_index (array, hash_of (&array->slots[i]));
      unsigned preferred_distance = (i + array->size - preferred) % array->size;
      unsigned gap_distance = (i + array->size - gap) % array->size;
      if (preferred_distance < gap_distance)
        continue;
      array->slots[gap] = array->slots[i];
      gap = i;
    }
  array->slots[gap].state = SLOT_EMPTY;
}

static void
remove_slot (KqFlowShard *shard, Slot *slot)
{
  kq_peer_table_release (shard->peers, slot->owner);
  if (shard->callers != NULL)
    {
      KqFlowKey key = key_of (slot);
      kq_caller_count_add (shard->callers, &key.caller, -1);
    }
  shard->count--;
  if (slot >= shard->current.slots && slot < shard->current.slots + shard->current.size)
    shift_back (&shard->current, (unsigned)(slot - shard->current.slots));
  else
    slot->state = SLOT_VACATED;
}

bool
kq_flow_shard_remove (KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, const KqPeer *owner)
{
  Slot *slot = find (shard, key, hash);
  if (slot == NULL)
    return false;
  if (owner != NULL && !kq_peer_equal (kq_peer_table_get (shard->peers, slot->owner), owner))
    return false;
  remove_slot (shard, slot);
  return true;
}

static KqTime
idle_of (const Slot *slot, KqTime now)
{
  int32_t ms = (int32_t)(to_ms (now) - slot->used_ms);
  return ms < 0 ? 0 : ms * KQ_MS;
}

KqTime
kq_flow_shard_idle (const KqFlowShard *shard, const KqFlowKey *key, uint64_t hash, KqTime now)
{
  const Slot *slot = find (shard, key, hash);
  return slot == NULL ? -1 : idle_of (slot, now);
}

bool
kq_flow_shard_next (const KqFlowShard *shard, unsigned *cursor, KqTime now, KqFlowEntry *entry)
{
  for (; *cursor < shard->current.size + shard->old.size; (*cursor)++)
    {
      bool in_current = *cursor < shard->current.size;
      const Slot *slot = in_current ? &shard->current.slots[*cursor]
                                    : &shard->old.slots[*cursor - shard->current.size];
      if (slot->state != SLOT_USED)
        continue;
      entry->key = key_of (slot);
      entry->owner = *kq_peer_table_get (shard->peers, slot->owner);
      entry->idle = idle_of (slot, now);
      (*cursor)++;
      return true;
    }
  return false;
}

unsigned
kq_flow_shard_expire (KqFlowShard *shard, KqTime now, KqTime idle_us, unsigned slots,
                      void (*dropped) (const KqFlowKey *key, void *data), void *data)
{
  unsigned count = 0;
  move_slots (shard, MOVED_PER_SCAN);
  for (unsigned scanned = 0; scanned < slots && scanned < shard->current.size; scanned++)
    {
      if (shard->clock_hand >= shard->current.size)
        shard->clock_hand = 0;
      Slot *slot = &shard->current.slots[shard->clock_hand];
      if (slot->state != SLOT_USED || idle_of (slot, now) < idle_us)
        {
          shard->clock_hand++;
          continue;
        }
      KqFlowKey key = key_of (slot);
      remove_slot (shard, slot);
      count++;
      if (dropped != NULL)
        dropped (&key, data);
    }
  return count;
}

unsigned
kq_flow_shard_count (const KqFlowShard *shard)
{
  return shard->count;
}

size_t
kq_flow_shard_bytes (const KqFlowShard *shard)
{
  size_t slots = (size_t)(shard->current.size + shard->old.size) * sizeof (Slot);
  size_t callers = shard->callers == NULL ? 0 : kq_caller_count_bytes ();
  return sizeof *shard + slots + callers + kq_peer_table_bytes (shard->peers);
}
