#include <string.h>

#include "kumquat/internal/stream_frame.h"

#define FRAME_VERSION          2 /* 2: queries for the owner of a stream carry a number */
#define EXTENDED_FRAME_VERSION 3 /* 3: failures, expected load and waits of a target */

#define PERMILLE 1000

static bool
carries_segment (KqStreamFrameType type)
{
  return type == KQ_FRAME_OPEN || type == KQ_FRAME_FORWARD || type == KQ_FRAME_PROBE;
}

static bool
is_answer (KqStreamFrameType type)
{
  return type >= KQ_FRAME_QUEUED;
}

static bool
carries_transaction_id (KqStreamFrameType type)
{
  return type == KQ_FRAME_OPEN || type == KQ_FRAME_QUERY || type == KQ_FRAME_PROBE ||
         is_answer (type);
}

static uint64_t
refusal_max (bool extended)
{
  return extended ? KQ_REFUSAL_MAX : KQ_REFUSAL_EVACUATED;
}

static void
write_key (KqWriter *writer, const KqStreamKey *key)
{
  kq_writer_uint (writer, key->caller_ip);
  kq_writer_uint (writer, key->caller_port);
  kq_writer_uint (writer, key->service_ip);
  kq_writer_uint (writer, key->service_port);
}

static void
read_key (KqReader *reader, KqStreamKey *key)
{
  key->caller_ip = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  key->caller_port = (uint16_t)kq_reader_uint (reader, UINT16_MAX);
  key->service_ip = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  key->service_port = (uint16_t)kq_reader_uint (reader, UINT16_MAX);
}

static void
write_need (KqWriter *writer, const KqStreamNeed *need, bool extended)
{
  kq_writer_uint (writer, need->priority);
  kq_writer_uint (writer, need->objective_ms);
  kq_writer_uint (writer, need->timeout_ms);
  kq_writer_uint (writer, need->age_ms);
  kq_writer_uint (writer, need->may_wait);
  if (extended)
    kq_writer_uint (writer, need->ignore_limit);
}

static void
read_need (KqReader *reader, KqStreamNeed *need, bool extended)
{
  need->priority = (unsigned)kq_reader_uint (reader, UINT16_MAX);
  need->objective_ms = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  need->timeout_ms = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  need->age_ms = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  need->may_wait = kq_reader_uint (reader, 1) != 0;
  need->ignore_limit = extended && kq_reader_uint (reader, 1) != 0;
}

static void
write_load (KqWriter *writer, const KqTargetLoad *load, bool extended)
{
  kq_writer_uint (writer, load->running);
  kq_writer_uint (writer, load->slots);
  kq_writer_uint (writer, load->waiting);
  kq_writer_uint (writer, load->service_us);
  kq_writer_uint (writer, load->answer_bytes);
  if (!extended)
    return;
  kq_writer_uint (writer, load->failed_permille);
  kq_writer_uint (writer, load->limited);
  kq_writer_uint (writer, load->expected_permille);
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    kq_writer_uint (writer, load->wait_us[i]);
}

static void
read_load (KqReader *reader, KqTargetLoad *load, bool extended)
{
  load->running = (unsigned)kq_reader_uint (reader, UINT16_MAX);
  load->slots = (unsigned)kq_reader_uint (reader, UINT16_MAX);
  load->waiting = (unsigned)kq_reader_uint (reader, UINT16_MAX);
  load->service_us = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  load->answer_bytes = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  if (!extended)
    return;
  load->failed_permille = (unsigned)kq_reader_uint (reader, PERMILLE);
  load->limited = kq_reader_uint (reader, 1) != 0;
  load->expected_permille = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
  for (unsigned i = 0; i < KQ_WAIT_CLASSES; i++)
    load->wait_us[i] = (uint32_t)kq_reader_uint (reader, UINT32_MAX);
}

int
kq_stream_frame_encode (const KqStreamFrame *frame, uint8_t *bytes, size_t capacity)
{
  KqWriter writer;
  kq_writer_init (&writer, bytes, capacity);
  kq_writer_uint (&writer, frame->extended ? EXTENDED_FRAME_VERSION : FRAME_VERSION);
  kq_writer_uint (&writer, frame->type);
  kq_writer_uint (&writer, frame->service);
  kq_writer_uint (&writer, frame->agent);
  if (frame->type == KQ_FRAME_OPEN)
    write_need (&writer, &frame->need, frame->extended);
  if (carries_transaction_id (frame->type))
    kq_writer_uint (&writer, frame->transaction_id);
  if (is_answer (frame->type))
    {
      kq_writer_uint (&writer, frame->reason);
      write_load (&writer, &frame->load, frame->extended);
    }
  if (carries_segment (frame->type))
    kq_writer_bytes (&writer, frame->segment, frame->segment_size);
  else
    write_key (&writer, &frame->key);
  return kq_writer_finish (&writer);
}

int
kq_stream_frame_decode (const uint8_t *bytes, size_t size, KqStreamFrame *frame, KqError *error)
{
  KqReader reader;
  memset (frame, 0, sizeof *frame);
  kq_reader_init (&reader, bytes, size);
  uint64_t version = kq_reader_uint (&reader, UINT8_MAX);
  frame->extended = version == EXTENDED_FRAME_VERSION;
  if (!reader.failed && version != FRAME_VERSION && !frame->extended)
    return kq_error_set (error, KQ_ERROR_RANGE,
                         "frame of version %u; run the same release on every instance",
                         (unsigned)version);
  frame->type = (KqStreamFrameType)kq_reader_uint (&reader, KQ_FRAME_DECLINED);
  frame->service = (uint32_t)kq_reader_uint (&reader, UINT32_MAX);
  frame->agent = kq_reader_uint (&reader, UINT64_MAX);
  if (frame->type == KQ_FRAME_OPEN)
    read_need (&reader, &frame->need, frame->extended);
  if (carries_transaction_id (frame->type))
    frame->transaction_id = (uint32_t)kq_reader_uint (&reader, UINT32_MAX);
  if (is_answer (frame->type))
    {
      frame->reason = (KqStreamRefusal)kq_reader_uint (&reader, refusal_max (frame->extended));
      read_load (&reader, &frame->load, frame->extended);
    }
  if (carries_segment (frame->type))
    frame->segment = kq_reader_bytes (&reader, KQ_SEGMENT_BYTES, &frame->segment_size);
  else
    read_key (&reader, &frame->key);
  if (kq_reader_finish (&reader) < 0 || frame->type == 0)
    return kq_error_set (error, KQ_ERROR_INVALID,
                         "malformed frame; check that only instances send to this port");
  return 0;
}

const char *
kq_stream_refusal_name (KqStreamRefusal reason)
{
  static const char *const names[] = {
    [KQ_REFUSAL_NONE] = "none",
    [KQ_REFUSAL_BUSY] = "busy",
    [KQ_REFUSAL_OVERLOAD] = "overload",
    [KQ_REFUSAL_DRAINING] = "draining",
    [KQ_REFUSAL_STARTING] = "starting",
    [KQ_REFUSAL_NO_TARGET] = "no-target",
    [KQ_REFUSAL_BOUNCED] = "bounced",
    [KQ_REFUSAL_WRONG_SERVICE] = "wrong-service",
    [KQ_REFUSAL_UNKNOWN] = "unknown-stream",
    [KQ_REFUSAL_EVACUATED] = "evacuated",
    [KQ_REFUSAL_LIMITED] = "limited",
  };
  return names[reason];
}
