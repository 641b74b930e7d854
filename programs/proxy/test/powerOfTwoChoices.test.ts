import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Address, ServiceName, ZoneName } from '@pewterlanding/model';
import type { ReplicaRow } from '../src/index.js';
import { PowerOfTwoChoices } from '../src/selection/powerOfTwoChoices.js';

const zone = v.parse(ZoneName, 'own');
const otherZone = v.parse(ZoneName, 'other');
const service = v.parse(ServiceName, 's');

function rowsOf(zones: readonly ZoneName[]): ReplicaRow[] {
  return zones.map((zone, index) => {
    const address = v.parse(Address, `127.0.0.1:${index + 1}`);
    return { replica: { service, address, slots: 4, incarnation: 1, state: 'serving', zone }, others: index, late: false };
  });
}

function choicesOf(draws: readonly number[], distinct: boolean) {
  let drawn = 0;
  const random = (): number => draws[drawn++] ?? 0;
  return { choices: new PowerOfTwoChoices({ random, zone, otherZoneLoad: 0.25, distinct }), drawn: () => drawn };
}

describe('the power of two choices', () => {
  it('takes the less loaded of two distinct candidates, and the first among equals', () => {
    const rows = rowsOf([zone, zone, zone]);
    const { choices } = choicesOf([0.9, 0.4, 0.9, 0.4], true);
    // Index 2 first; then one of the other two, here index 0.
    expect(choices.choose(rows, ({ others }) => others)).toEqual(rows[0]);
    expect(choices.choose(rows, () => 0)).toEqual(rows[2]);
  });

  it('takes a replica of another zone only if that is less loaded by more than the bound', () => {
    const rows = rowsOf([zone, otherZone]);
    const loads = (own: number, other: number) => (row: ReplicaRow) => (row === rows[0] ? own : other);
    for (const [own, expected] of [[0.5, 0] as const, [0.51, 1] as const]) {
      const { choices } = choicesOf([0, 0], true);
      expect(choices.choose(rows, loads(own, 0.25))).toEqual(rows[expected]);
    }
  });

  it('draws once for a single candidate if draws are distinct, and twice if they are independent', () => {
    for (const distinct of [true, false]) {
      const { choices, drawn } = choicesOf([], distinct);
      const rows = rowsOf([zone]);
      expect(choices.choose(rows, () => 0)).toEqual(rows[0]);
      expect(choices.choose([], () => 0)).toEqual(undefined);
      expect(drawn()).toEqual(distinct ? 2 : 4);
    }
  });
});
