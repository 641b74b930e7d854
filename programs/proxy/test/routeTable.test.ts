import { describe, it } from 'node:test';
import { expect } from 'earl';
import * as v from 'valibot';
import { Configuration } from '@pewterlanding/model';
import { EventCutter, RouteTable } from '../src/index.js';

const route = (host: string, prefix: string, services = [{ service: 's', weight: 1 }]) => ({ host, prefix, kind: 'whole', services });

describe('the route table', () => {
  const routeTable = new RouteTable(
    v.parse(Configuration, {
      services: {},
      quotas: {},
      routes: {
        root: route('a.example', '/'),
        deep: route('a.example', '/x/y/'),
        near: route('a.example', '/x/'),
        only: route('B.example', '/x/', [
          { service: 'none', weight: 0 },
          { service: 'few', weight: 1 },
          { service: 'most', weight: 3 },
        ]),
      },
    }),
  );
  const nameOf = (host: string, url: string): string | undefined => routeTable.find(host, url)?.name;

  it('finds the longest prefix of the path, whatever the case and port of the host', () => {
    expect(nameOf('A.example:8080', '/x/y/z?q=/x/y/w/')).toEqual('deep');
    expect(nameOf('a.example', '/x/yy/?/x/y/')).toEqual('near');
    expect(nameOf('a.example', '/x')).toEqual('root');
    expect(nameOf('b.example', '/x/')).toEqual('only');
    expect(nameOf('b.example', '/')).toEqual(undefined);
    expect(nameOf('c.example', '/x/')).toEqual(undefined);
    expect(nameOf('a.example', '*')).toEqual(undefined);
  });

  it('shares tasks by gain', () => {
    const only = routeTable.find('b.example', '/x/1');
    expect([0, 0.24, 0.26, 0.99].map((draw) => String(only?.service(draw)))).toEqual(['few', 'few', 'most', 'most']);
  });
});

describe('the event cutter', () => {
  it('gives complete events with their bytes, however the stream was split into chunks', () => {
    const text = 'weight: 3\nid: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: word\n\nid: 3\nda';
    for (let size = 1; size <= text.length; size += 1) {
      const cutter = new EventCutter();
      const events: { readonly text: string; readonly id: string | undefined }[] = [];
      for (let at = 0; at < text.length; at += size)
        for (const { bytes, id } of cutter.feed(Buffer.from(text.slice(at, at + size)))) events.push({ text: bytes.toString(), id });
      expect(events).toEqual([
        { text: 'weight: 3\nid: 1\ndata: a\n\n', id: '1' },
        { text: 'id:2\r\ndata: b\r\n\r\n', id: '2' },
        { text: ': word\n\n', id: undefined },
      ]);
      expect(cutter.incomplete.toString()).toEqual('id: 3\nda');
    }
  });
});
