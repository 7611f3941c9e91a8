/* Anti-entropy. An instance sends a hash of each of 64 ranges of its member table and of its table
 * of document revisions to a random member, which answers with the content of the ranges that
 * differ. A joining member uses the same exchange: with an empty table, every range differs. The
 * size of answers is limited, so a joining member queries several members, at the rate that the
 * bandwidth budget allows, until nothing differs. */

#include "kumquat/internal/group_impl.h"

#define SYNC_INTERVAL_US      (10 * KQ_SECOND)
#define SYNC_RETRY_US         (500 * KQ_MS)
#define JOIN_SYNC_MIN_US      (200 * KQ_MS)
#define ANSWER_BYTES_MAX      32768
#define ANSWER_BYTES_MIN      2048
#define SEED_SHARE            8 /* one in this many exchanges goes to a seed, in case the group has split */
#define FEW_RANGES_MAX        2 /* differing ranges that are left to a later exchange */
#define JOIN_ROUNDS           64
#define LARGE_GROUP_MEMBERS   256 /* more live members: FEW_RANGES_MAX may differ after joining */
#define RETRIES_PER_DOUBLING  8   /* unanswered join attempts after which the retry delay doubles */
#define GOSSIPED_ANSWER_BYTES 4096 /* items of smaller answers are news to others as well */
#define SEED_ANSWER_BYTES     4096 /* a joining member gets the rest from the members in it */

void
kq_digest_schedule (KqGroup *group)
{
  KqTime soon = group->now + SYNC_RETRY_US;
  if (group->next_sync > soon)
    group->next_sync = soon;
}

static bool
is_seed (const KqGroupParams *params, const KqAddress *address)
{
  for (unsigned i = 0; i < params->seed_count; i++)
    {
      if (kq_address_equal (address, &params->seeds[i]))
        return true;
    }
  return false;
}

/* While it joins, an instance queries a seed or a known member with equal probability, so that
 * instances that found each other before a seed do not remain a separate group. */
static bool
pick_address (KqGroup *group, KqAddress *address)
{
  const KqGroupParams *params = &group->params;
  KqMemberRecord *peer = kq_group_random_live (group);
  unsigned share = group->joined ? SEED_SHARE : 2;
  bool seed = peer == NULL || kq_random_below (&group->random, share) == 0;
  if (seed && params->seed_count > 0)
    {
      *address = params->seeds[kq_random_below (&group->random, params->seed_count)];
      if (!kq_address_equal (address, &params->self.control))
        return true;
    }
  if (peer == NULL)
    return false;
  *address = peer->interned->member.control;
  return true;
}

static void
send_request (KqGroup *group)
{
  uint8_t bytes[2 * KQ_CONTROL_DATAGRAM_BYTES];
  KqWriter writer;
  KqAddress address;
  KqItem own = { .kind = KQ_ITEM_MEMBER };
  KqControlHeader header = { .type = KQ_CONTROL_SYNC, .sequence = ++group->sequence };
  if (!pick_address (group, &address))
    return;
  header.from = group->self;
  header.reply = group->params.self.control;
  own.claim = kq_record_to_claim (kq_group_own_record (group));
  kq_writer_init (&writer, bytes, sizeof bytes);
  kq_control_write_header (&writer, &header);
  kq_control_write_item (&writer, &own);
  for (unsigned i = 0; i < KQ_DIGEST_RANGES; i++)
    kq_writer_uint (&writer, kq_members_digest (group->members)[i]);
  for (unsigned i = 0; i < KQ_DIGEST_RANGES; i++)
    kq_writer_uint (&writer, kq_document_table_digest (group->spread)[i]);
  int size = kq_writer_finish (&writer);
  if (size < 0 || !kq_token_bucket_take (&group->budget, KQ_PRIORITY_CONFIGURATION,
                                         (size_t)size + group->params.overhead_bytes, group->now))
    return;
  group->stats.syncs++;
  group->stats.bulk_bytes_sent += (unsigned)size;
  group->ops.send_request (&address, bytes, (size_t)size, group->data);
}

void
kq_digest_tick (KqGroup *group)
{
  if (group->now < group->next_sync || group->leaving)
    return;
  KqTime sync_delay =
      SYNC_INTERVAL_US / 2 + (KqTime)kq_random_below (&group->random, (uint64_t)SYNC_INTERVAL_US);
  KqTime retry = SYNC_RETRY_US << (group->join_attempts / RETRIES_PER_DOUBLING);
  if (!group->joined && retry < sync_delay)
    {
      sync_delay = retry;
      group->join_attempts++;
    }
  group->next_sync = group->now + sync_delay;
  send_request (group);
}

static void
write_members (const KqGroup *group, uint64_t ranges, unsigned first, KqWriter *writer)
{
  unsigned count = kq_members_count (group->members);
  for (unsigned i = 0; i < count; i++)
    {
      KqMemberRecord *record = kq_members_at (group->members, (first + i) % count);
      if ((ranges >> kq_digest_range (record->id) & 1) == 0)
        continue;
      KqItem item = { .kind = KQ_ITEM_MEMBER, .claim = kq_record_to_claim (record) };
      if (record->domain_lost || record->state == KQ_MEMBER_SUSPECT)
        item.claim.member.state = KQ_MEMBER_ALIVE;
      if (!kq_control_write_item (writer, &item))
        return;
    }
}

static void
write_documents (const KqGroup *group, uint64_t ranges, unsigned first, KqWriter *writer)
{
  unsigned count = kq_document_table_count (group->spread);
  for (unsigned i = 0; i < count; i++)
    {
      const KqDocumentEntry *entry = kq_document_table_at (group->spread, (first + i) % count);
      if ((ranges >> kq_document_table_range (entry->service) & 1) == 0 ||
          entry->known.revision == 0)
        continue;
      KqItem item = { .kind = KQ_ITEM_DOCUMENT, .service = entry->service };
      item.revision = entry->known;
      item.source =
          kq_revision_compare (entry->held, entry->known) == 0 ? group->self : entry->announced_by;
      if (!kq_control_write_item (writer, &item))
        return;
    }
}

static void
write_domains (const KqGroup *group, KqWriter *writer)
{
  for (unsigned i = 0; i < group->domain_count; i++)
    {
      KqItem item = { .kind = KQ_ITEM_DOMAIN, .domain = group->domains[i].domain };
      item.event = group->domains[i].event;
      if (item.event != 0 && !kq_control_write_item (writer, &item))
        return;
    }
}

static uint64_t
read_differing_ranges (KqReader *reader, const uint64_t *own)
{
  uint64_t ranges = 0;
  for (unsigned i = 0; i < KQ_DIGEST_RANGES; i++)
    ranges |= (uint64_t)(kq_reader_uint (reader, UINT64_MAX) != own[i]) << i;
  return ranges;
}

/* Limits an answer to the available budget; Return: false when the budget is too low to answer. */
static bool
limit_answer (const KqGroup *group, uint64_t ranges, KqWriter *answer)
{
  const KqGroupParams *params = &group->params;
  bool joining_peer = ranges == UINT64_MAX && is_seed (params, &params->self.control);
  int64_t spare = group->budget.tokens - group->budget.burst / 2;
  if (spare < ANSWER_BYTES_MIN)
    return false;
  size_t limit = spare < ANSWER_BYTES_MAX ? (size_t)spare : ANSWER_BYTES_MAX;
  if (joining_peer && limit > SEED_ANSWER_BYTES)
    limit = SEED_ANSWER_BYTES;
  if (answer->capacity > limit)
    answer->capacity = limit;
  return true;
}

int
kq_digest_handle_request (KqGroup *group, KqReader *reader, KqWriter *answer)
{
  KqItem item;
  if (kq_control_read_item (reader, &item) < 0 || item.kind != KQ_ITEM_MEMBER)
    return -1;
  uint64_t members = read_differing_ranges (reader, kq_members_digest (group->members));
  uint64_t documents = read_differing_ranges (reader, kq_document_table_digest (group->spread));
  if (kq_reader_finish (reader) < 0)
    return -1;
  kq_group_apply_item (group, &item, true);
  if (group->leaving || !limit_answer (group, members, answer))
    return 0;
  KqControlHeader header = { .type = KQ_CONTROL_ITEMS, .from = group->self };
  header.reply = group->params.self.control;
  kq_control_write_header (answer, &header);
  kq_writer_uint (answer, members);
  kq_writer_uint (answer, documents);
  unsigned first = (unsigned)(kq_random_next (&group->random) >> 40);
  write_documents (group, documents, first, answer);
  write_members (group, members, first, answer);
  write_domains (group, answer);
  kq_token_bucket_take (&group->budget, KQ_PRIORITY_BACKGROUND, answer->size, group->now);
  return 0;
}

static unsigned
count_bits (uint64_t value)
{
  return (unsigned)__builtin_popcountll (value);
}

/* Decides whether the joining member has joined, and when it sends its next request. */
static void
advance_join (KqGroup *group, bool by_seed, bool tables_equal, size_t size)
{
  group->join_rounds++;
  group->join_attempts = 0;
  group->joined = ((by_seed || kq_join_seeds_gone (group)) && tables_equal) ||
                  group->join_rounds >= JOIN_ROUNDS;
  KqTime pace = (KqTime)size * KQ_SECOND / (group->params.budget_bytes_per_s + 1);
  if (!group->joined)
    group->next_sync = group->now + (pace > JOIN_SYNC_MIN_US ? pace : JOIN_SYNC_MIN_US);
}

int
kq_digest_handle_answer (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  bool spread = reader->size <= GOSSIPED_ANSWER_BYTES;
  uint64_t members = kq_reader_uint (reader, UINT64_MAX);
  uint64_t documents = kq_reader_uint (reader, UINT64_MAX);
  if (reader->failed)
    return -1;
  while (reader->offset < reader->size)
    {
      KqItem item;
      if (kq_control_read_item (reader, &item) < 0)
        return -1;
      kq_group_apply_item (group, &item, spread);
    }
  group->last_answer = group->now;
  bool few_ranges = kq_members_live (group->members) > LARGE_GROUP_MEMBERS &&
                    count_bits (members) <= FEW_RANGES_MAX;
  bool tables_equal = documents == 0 && (members == 0 || few_ranges);
  if (!group->joined)
    advance_join (group, is_seed (&group->params, &header->reply), tables_equal, reader->size);
  return 0;
}
