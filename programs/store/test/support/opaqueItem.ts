import * as v from 'valibot';
import { BatchId, RouteName } from '@pewterlanding/model';

/** Names and leases that the tests of opaque items share. */
export const opaqueItem = {
  host: 'a.example',
  route: v.parse(RouteName, 'r'),
  id: (text = 'l') => v.parse(BatchId, text),
  ref: (position: number, batch = 'l') => ({ batch, position }),
  lease: (number: number, term = 1) => ({ term, number, front: 'f' }),
} as const;
