#include <string.h>

#include "kumquat/internal/control_message.h"

#define WEIGHT_MAX 1000

void
kq_control_write_header (KqWriter *writer, const KqControlHeader *header)
{
  kq_writer_uint (writer, KQ_CONTROL_VERSION);
  kq_writer_uint (writer, header->type);
  kq_writer_uint (writer, header->sequence);
  kq_writer_uint (writer, header->from);
  kq_writer_address (writer, &header->reply);
  kq_writer_uint (writer, header->to);
  if (header->type != KQ_CONTROL_PING_REQ && header->type != KQ_CONTROL_ACK)
    return;
  kq_writer_uint (writer, header->about);
  if (header->type == KQ_CONTROL_PING_REQ)
    kq_writer_address (writer, &header->address);
}

int
kq_control_read_header (KqReader *reader, KqControlHeader *header)
{
  memset (header, 0, sizeof *header);
  uint64_t version = kq_reader_uint (reader, UINT8_MAX);
  header->type = (KqControlType)kq_reader_uint (reader, KQ_CONTROL_TYPES - 1);
  header->sequence = kq_reader_uint (reader, UINT64_MAX);
  header->from = kq_reader_uint (reader, UINT64_MAX);
  kq_reader_address (reader, &header->reply);
  header->to = kq_reader_uint (reader, UINT64_MAX);
  if (header->type == KQ_CONTROL_PING_REQ || header->type == KQ_CONTROL_ACK)
    header->about = kq_reader_uint (reader, UINT64_MAX);
  if (header->type == KQ_CONTROL_PING_REQ)
    kq_reader_address (reader, &header->address);
  bool valid = !reader->failed && version == KQ_CONTROL_VERSION && header->type != 0;
  return valid && header->from != 0 ? 0 : -1;
}

/* Releases before KQ_PHASE_UNKNOWN reject messages with it. An agent that leaves while its phase is
 * KQ_PHASE_STARTING counts as missing and later as gone, which is what the phase means. */
static KqTargetPhase
wire_phase (KqTargetPhase phase)
{
  return phase == KQ_PHASE_UNKNOWN ? KQ_PHASE_STARTING : phase;
}

static void
write_member (KqWriter *writer, const KqClaim *claim)
{
  const KqMember *member = &claim->member;
  kq_writer_text (writer, member->name);
  kq_writer_text (writer, member->failure_domain);
  kq_writer_uint (writer, member->peer.incarnation);
  kq_writer_uint (writer, claim->version);
  kq_writer_uint (writer, member->state);
  kq_writer_uint (writer, wire_phase (member->phase));
  kq_writer_uint (writer, member->role);
  kq_writer_uint (writer, member->service);
  kq_writer_uint (writer, member->weight);
  kq_writer_address (writer, &member->peer.data);
  kq_writer_address (writer, &member->control);
}

static void
read_member (KqReader *reader, KqClaim *claim)
{
  KqMember *member = &claim->member;
  kq_reader_text (reader, member->name, sizeof member->name);
  kq_reader_text (reader, member->failure_domain, sizeof member->failure_domain);
  member->peer.incarnation = kq_reader_uint (reader, UINT64_MAX);
  claim->version = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  member->state = (KqMemberState)kq_reader_uint (reader, KQ_MEMBER_LEFT);
  member->phase = (KqTargetPhase)kq_reader_uint (reader, KQ_PHASE_EMPTY);
  member->role = (KqRole)kq_reader_uint (reader, KQ_ROLE_AGENT);
  member->service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  member->weight = (uint16_t)kq_reader_uint (reader, WEIGHT_MAX);
  kq_reader_address (reader, &member->peer.data);
  kq_reader_address (reader, &member->control);
  claim->full = true;
  if (member->name[0] == '\0')
    reader->failed = true;
  member->peer.id = kq_hash_name (member->name);
}

static void
write_state (KqWriter *writer, const KqClaim *claim)
{
  kq_writer_uint (writer, claim->member.peer.id);
  kq_writer_uint (writer, claim->member.peer.incarnation);
  kq_writer_uint (writer, claim->version);
  kq_writer_uint (writer, claim->member.state);
  kq_writer_uint (writer, wire_phase (claim->member.phase));
}

static void
read_state (KqReader *reader, KqClaim *claim)
{
  claim->member.peer.id = kq_reader_uint (reader, UINT64_MAX);
  claim->member.peer.incarnation = kq_reader_uint (reader, UINT64_MAX);
  claim->version = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  claim->member.state = (KqMemberState)kq_reader_uint (reader, KQ_MEMBER_LEFT);
  claim->member.phase = (KqTargetPhase)kq_reader_uint (reader, KQ_PHASE_EMPTY);
  if (claim->member.peer.id == 0)
    reader->failed = true;
}

bool
kq_control_write_item (KqWriter *writer, const KqItem *item)
{
  KqWriter before = *writer;
  kq_writer_uint (writer, item->kind);
  switch (item->kind)
    {
    case KQ_ITEM_MEMBER:
      write_member (writer, &item->claim);
      break;
    case KQ_ITEM_STATE:
      write_state (writer, &item->claim);
      kq_writer_uint (writer, item->source);
      break;
    case KQ_ITEM_DOCUMENT:
      kq_writer_uint (writer, item->service);
      kq_writer_revision (writer, item->revision);
      kq_writer_uint (writer, item->source);
      break;
    case KQ_ITEM_DOMAIN:
      kq_writer_uint (writer, item->domain);
      kq_writer_uint (writer, item->event);
      break;
    }
  if (!writer->overflow)
    return true;
  *writer = before;
  return false;
}

int
kq_control_read_item (KqReader *reader, KqItem *item)
{
  memset (item, 0, sizeof *item);
  item->kind = (KqItemKind)kq_reader_uint (reader, KQ_ITEM_DOMAIN);
  switch (item->kind)
    {
    case KQ_ITEM_MEMBER:
      read_member (reader, &item->claim);
      break;
    case KQ_ITEM_STATE:
      read_state (reader, &item->claim);
      item->source = kq_reader_uint (reader, UINT64_MAX);
      break;
    case KQ_ITEM_DOCUMENT:
      item->service = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
      kq_reader_revision (reader, &item->revision);
      item->source = kq_reader_uint (reader, UINT64_MAX);
      break;
    case KQ_ITEM_DOMAIN:
      item->domain = kq_reader_uint (reader, UINT64_MAX);
      item->event = kq_reader_uint (reader, UINT64_MAX);
      break;
    default:
      reader->failed = true;
    }
  return reader->failed ? -1 : 0;
}
