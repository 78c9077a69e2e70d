@0xb0f3d5a7c1e94d21;

struct Hello {
  protocol @0 :UInt8;
  vmId @1 :Text;
  incarnation @2 :UInt64;
  answersProbes @3 :Bool;
}

struct CallHead {
  requestId @0 :Text;
  routeId @1 :Text;
  service @2 :Text;
  method @3 :Text;
  target @4 :Text;
  headers @5 :List(Text);
  account @6 :Text;
  keyId @7 :Text;
  priority @8 :UInt8;
  rank @9 :UInt32;
  remainingMs @10 :UInt32;
  allowance @11 :UInt16;
  idempotencyKey @12 :Text;
  configVersion @13 :UInt64;
  body @14 :Data;
  ownerRun @15 :Bool;
  keyDigest @16 :Text;
  hops @17 :UInt8;
  long @18 :Bool;
  stallMs @19 :UInt32;
  weight @20 :UInt16;
  repeatable @21 :Bool;
  represented @22 :UInt32 = 1;
  instance @23 :Text;
  rankSpan @24 :UInt16 = 256;
}

struct AnswerHead {
  status @0 :UInt16;
  headers @1 :List(Text);
  code @2 :UInt16;
  runState @3 :UInt8;
  reason @4 :Text;
  retryAfterMs @5 :Int32 = -1;
  spent @6 :UInt16;
  inFlight @7 :UInt16;
  limit @8 :UInt16;
  body @9 :Data;
  complete @10 :Bool;
  leaving @11 :Bool;
  levels @12 :List(AdmissionLevel);
  childFailed @13 :Bool;
  serverLeaving @14 :Bool;
}

struct AdmissionLevel {
  service @0 :Text;
  vmId @1 :Text;
  threshold @2 :UInt32;
  excessMilli @3 :UInt16;
  ageMs @4 :UInt32;
  workMs @5 :UInt32;
}
