/* Runs one module's CUnit tests. */
#pragma once

#include <stddef.h>

/**
 * struct KqUnitTest - one test case
 * @name: what must hold
 * @run: the test
 */
typedef struct
{
  const char *name;
  void (*run) (void);
} KqUnitTest;

/** kq_unit_run - Return: exit status, 0 when every assertion held */
int kq_unit_run (const char *suite, const KqUnitTest *tests, size_t count);
