/* Finds members through the store, and keeps them there for others. */
#pragma once

#include <tevent.h>

#include "kumquat/control.h"
#include "kumquat/internal/agent_roll.h"
#include "kumquat/store.h"

typedef struct KqStreamDirectory KqStreamDirectory;

/**
 * kq_stream_directory_new - reads the directory and introduces this process to whom it names
 * @store: (borrowed): must outlive the directory
 * @control: (borrowed): must outlive the directory
 * @roll: (borrowed): must outlive the directory; it is told what the directory says
 *
 * Return: (owned by @parent) the directory, or NULL with @error set.
 */
KqStreamDirectory *kq_stream_directory_new (const void *parent, struct tevent_context *ev,
                                            KqStore *store, KqControl *control,
                                            KqAgentHistory *roll, KqError *error);

/** kq_stream_directory_members_changed - looks whether the directory must be written, after the
 * roll has taken the members */
void kq_stream_directory_members_changed (KqStreamDirectory *directory);

/** kq_stream_directory_store_back - the store has answered another call: a directory that could not
 * be read is read at once */
void kq_stream_directory_store_back (KqStreamDirectory *directory);

/** kq_stream_directory_heard - takes the directory that a peer spreads */
void kq_stream_directory_heard (KqStreamDirectory *directory, const KqDocument *document);

/** kq_stream_directory_oddities - Return: entries read that this version does not write, by kind */
KqDirectoryInconsistencies kq_stream_directory_oddities (const KqStreamDirectory *directory);
