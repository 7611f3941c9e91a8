/* Decodes received datagrams and bulk messages and dispatches them to their handlers. */

#include "kumquat/internal/group_impl.h"

/* Validates all items before any is applied, so that a malformed datagram changes nothing. */
static int
validate_items (KqReader reader)
{
  KqItem item;
  while (reader.offset < reader.size)
    {
      if (kq_control_read_item (&reader, &item) < 0)
        return -1;
    }
  return 0;
}

static int
apply_items (KqGroup *group, KqReader *reader)
{
  KqItem item;
  if (validate_items (*reader) < 0)
    return -1;
  while (reader->offset < reader->size && kq_control_read_item (reader, &item) == 0)
    kq_group_apply_item (group, &item, true);
  return 0;
}

static int
handle_probe_message (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  if (apply_items (group, reader) < 0)
    return -1;
  kq_swim_message_received (group, header->from);
  if (header->type == KQ_CONTROL_PING)
    kq_swim_handle_ping (group, header);
  else if (header->type == KQ_CONTROL_PING_REQ)
    kq_swim_handle_ping_req (group, header);
  else if (header->type == KQ_CONTROL_ACK)
    kq_swim_handle_ack (group, header);
  return 0;
}

static int
handle_introduction (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  if (apply_items (group, reader) < 0)
    return -1;
  kq_introduce_handle (group, header);
  return 0;
}

static int
dispatch_message (KqGroup *group, const KqControlHeader *header, KqReader *reader)
{
  switch (header->type)
    {
    case KQ_CONTROL_PING:
    case KQ_CONTROL_PING_REQ:
    case KQ_CONTROL_ACK:
    case KQ_CONTROL_GOSSIP:
      return handle_probe_message (group, header, reader);
    case KQ_CONTROL_INTRODUCTION:
      return handle_introduction (group, header, reader);
    case KQ_CONTROL_HOLDERS:
      return kq_report_acknowledgements (group, header, reader);
    case KQ_CONTROL_HOLDERS_OK:
      kq_report_acknowledgements_ok (group, header);
      return 0;
    case KQ_CONTROL_QUERY:
      return kq_report_query (group, header, reader);
    case KQ_CONTROL_SUMMARY:
      return kq_report_summary (group, reader);
    default:
      return -1;
    }
}

void
kq_group_handle_datagram (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now)
{
  KqReader reader;
  KqControlHeader header;
  group->now = now;
  group->stats.datagrams_received++;
  kq_reader_init (&reader, bytes, size);
  if (kq_control_read_header (&reader, &header) < 0)
    {
      group->stats.malformed++;
      return;
    }
  if ((header.to != 0 && header.to != group->self) || header.from == group->self)
    {
      group->stats.misdirected++;
      return;
    }
  if (dispatch_message (group, &header, &reader) < 0)
    group->stats.malformed++;
}

static int
answer_request (KqGroup *group, const KqControlHeader *header, KqReader *reader, KqWriter *writer)
{
  if (header->type == KQ_CONTROL_SYNC)
    return kq_digest_handle_request (group, reader, writer);
  if (header->type == KQ_CONTROL_PULL)
    return kq_config_pull_request (group, reader, writer);
  if (header->type == KQ_CONTROL_PULL_PAGES)
    return kq_page_transfer_request (group, reader, writer);
  return -1;
}

int
kq_group_handle_request (KqGroup *group, const uint8_t *bytes, size_t size, uint8_t *answer,
                         size_t capacity, KqTime now)
{
  KqReader reader;
  KqWriter writer;
  KqControlHeader header;
  group->now = now;
  kq_reader_init (&reader, bytes, size);
  kq_writer_init (&writer, answer, capacity);
  if (kq_control_read_header (&reader, &header) < 0 ||
      answer_request (group, &header, &reader, &writer) < 0)
    {
      group->stats.malformed++;
      return -1;
    }
  int written = kq_writer_finish (&writer);
  if (written > 0)
    group->stats.bulk_bytes_sent += (unsigned)written;
  return written < 0 ? 0 : written;
}

void
kq_group_handle_answer (KqGroup *group, const uint8_t *bytes, size_t size, KqTime now)
{
  KqReader reader;
  KqControlHeader header;
  int status = -1;
  group->now = now;
  kq_reader_init (&reader, bytes, size);
  if (kq_control_read_header (&reader, &header) == 0)
    {
      if (header.type == KQ_CONTROL_ITEMS)
        status = kq_digest_handle_answer (group, &header, &reader);
      else if (header.type == KQ_CONTROL_DOCUMENTS)
        status = kq_config_documents (group, &reader);
      else if (header.type == KQ_CONTROL_MANIFEST)
        status = kq_page_transfer_manifest (group, &header, &reader);
      else if (header.type == KQ_CONTROL_PAGES)
        status = kq_page_transfer_pages (group, &header, &reader);
    }
  if (status < 0)
    group->stats.malformed++;
}
