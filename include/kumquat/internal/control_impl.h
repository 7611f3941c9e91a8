/* State of the control plane of one process. */
#pragma once

#include "kumquat/control.h"
#include "kumquat/internal/control_message.h"
#include "kumquat/internal/control_wire.h"
#include "kumquat/internal/group.h"
#include "kumquat/internal/timer.h"

#define KQ_CONTROL_MESSAGE_BYTES (KQ_CONTROL_DATAGRAM_BYTES + KQ_CONTROL_MAC_BYTES)

struct KqControl
{
  KqControlParams params;
  KqControlOps ops;
  void *data;
  KqControlKeys keys;
  KqGroup *group;
  KqControlBulk *bulk;
  int fd;
  struct tevent_fd *fde;
  KqMember self;
  KqMember *members; /* copy of the live members, for the process */
  unsigned member_count;
  KqTimer *timer;
  bool members_stale;
  uint64_t wrong_key;
  uint64_t oversized;
  uint64_t send_failures;
};
