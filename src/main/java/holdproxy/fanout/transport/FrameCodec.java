package holdproxy.fanout.transport;

import holdproxy.fanout.FanoutSettings;
import holdproxy.fanout.Message;
import holdproxy.fanout.MessageCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.ByteBuffer;

/**
 * Frames of messages: four bytes with the length of what follows, and the message. The last one is kept by
 * identity, so that a message which goes to many links is encoded once.
 */
final class FrameCodec {
    /** Bytes before a frame's content. */
    static final int HEADER_BYTES = Integer.BYTES;

    private final MessageCodec codec;
    private Message lastMessage;
    private byte[] lastFrame;

    FrameCodec(FanoutSettings settings) {
        codec = new MessageCodec(settings.limits());
    }

    /** What a frame's content says, or a {@link holdproxy.fanout.ProtocolException}. */
    Message decode(ByteBuf content) {
        return codec.decode(ByteBufUtil.getBytes(content));
    }

    ByteBuf encode(Message message) {
        if (message != lastMessage) {
            byte[] content = codec.encode(message);
            lastFrame =
                    ByteBuffer.allocate(HEADER_BYTES + content.length)
                            .putInt(content.length)
                            .put(content)
                            .array();
            lastMessage = message;
        }
        return Unpooled.wrappedBuffer(lastFrame);
    }
}
