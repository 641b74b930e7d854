import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, NodeName, ZoneName } from '@pewterlanding/model';
import type { NodeRecord } from '../../src/index.js';
import { SelfRecord } from '../../src/node/selfRecord.js';

const record = {
  name: v.parse(NodeName, 'n1'),
  role: 'agent' as const,
  zone: v.parse(ZoneName, 'a'),
  address: v.parse(Address, '127.0.0.1:7000'),
};
const own: NodeRecord = { ...record, state: 'here' };

describe("a node's own record", () => {
  it('is contradicted by a record of its end or of another address, and by no other', () => {
    const self = new SelfRecord(record, 5);
    expect(self.isContradictedBy(own)).toEqual(false);
    expect(self.isContradictedBy({ ...own, state: 'gone' })).toEqual(true);
    expect(self.isContradictedBy({ ...own, state: 'left' })).toEqual(true);
    expect(self.isContradictedBy({ ...own, address: v.parse(Address, '127.0.0.2:7000') })).toEqual(true);
    expect(self.isContradictedBy({ ...own, name: v.parse(NodeName, 'n2'), state: 'gone' })).toEqual(false);
  });

  it('is published above the version that it refutes, in the same incarnation or a later one', () => {
    const self = new SelfRecord(record, 5);
    self.refute([5, 3]);
    expect(self.update().version).toEqual([5, 4]);
    self.refute([9, 0]);
    expect(self.update().version).toEqual([9, 1]);
  });

  it('is not defended any more once the node has left', () => {
    const self = new SelfRecord(record, 5);
    self.markLeft();
    expect(self.update()).toEqual({ key: 'node/n1', version: [5, 1], volatile: false, value: { ...own, state: 'left' } });
    expect(self.isContradictedBy({ ...own, state: 'gone' })).toEqual(false);
  });
});
